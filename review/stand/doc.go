//go:build review

// Command stand runs one case of the review: it plays the platform's store, its VM API, the advice service, the
// executors and the callers on loopback addresses, and starts the entry as a process of its own.
package main
