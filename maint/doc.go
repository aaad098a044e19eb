// Package maint decides when each VM is maintained: once in four weeks, one rack of a pool at a time, within what the
// pool can spare.
package maint
