// Package model simulates the users' platform deterministically on a virtual clock: the store, executors, VM orders and
// callers, with faults drawn from a seed. It drives the planner of package sched without a network and checks the
// invariants that it must keep.
package model
