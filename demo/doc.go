// Package demo runs an entry, a platform and executors in one process on loopback, and shows
// requests, a move, a maintenance and a job from end to end.
package demo
