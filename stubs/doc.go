// Package stubs implements the verbs of the stand program, which runs the fakes of package fakes as separate processes:
// stand-ins of the platform and of executors for tests and trials of an entry.
package stubs
