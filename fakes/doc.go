// Package fakes implements fake platforms and executors that speak the real protocols and fail on request, for tests,
// the demo and the stand program.
package fakes
