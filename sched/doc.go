// Package sched decides for the entry that leads which task runs where and when: a reducer of events to effects that
// reads no clock and does no I/O.
package sched
