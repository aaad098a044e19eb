// Package model is a small model of the platform on a virtual clock: store, executors, VM calls and callers, with
// faults drawn from a seed. It drives the planner without a network and checks what must hold.
package model
