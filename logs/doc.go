// Package logs writes one line for each decision from a goroutine of its own, so that traffic never waits for the log.
package logs
