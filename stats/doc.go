// Package stats counts the decisions, calls and requests of an entry on the users' platform, and serves them as metrics
// in the Prometheus text format.
package stats
