// Package scen tests the system's guarantees end to end: each .txtar file is a scenario that runs the real programs as
// separate processes on loopback, injects faults and checks what callers and executors recorded.
package scen
