// Package sched implements the scheduler of the leader on the users' platform: it decides on which executor and when
// each task runs, and when VMs move between pools or are maintained. The Planner is a pure reducer from events to
// effects: it reads no clock and does no I/O. Package agent runs it.
package sched
