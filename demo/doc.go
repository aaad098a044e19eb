// Package demo implements the demo of the wax command: it runs an entry, a stand-in of the platform and executors in
// one process on loopback, and carries out requests, a move, a maintenance and a job from beginning to end.
package demo
