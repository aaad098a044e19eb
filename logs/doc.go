// Package logs writes the log, one line for each decision, on a goroutine of its own, so that requests never wait for it.
package logs
