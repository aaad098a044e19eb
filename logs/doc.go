// Package logs writes one log line for each decision. It writes on a separate goroutine, so that requests never wait for
// the log.
package logs
