// Package daemon assembles an entry: one control goroutine that reduces events and
// publishes views, workers that carry out its effects, and the listeners of callers,
// operators and other entries, in one run group that stops together.
package daemon
