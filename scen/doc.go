// Package scen holds the scenarios that prove what must hold, one file each, run against
// the real programs as separate processes on loopback.
package scen
