// Package daemon assembles an entry: a control goroutine that reduces events to a new state
// and publishes views of it, workers that carry out the effects that the reducer requests, and the
// listeners for callers, operators and other entries. All of them belong to one run group and stop together.
package daemon
