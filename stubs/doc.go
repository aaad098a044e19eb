// Package stubs implements the verbs of the stand program, which runs stand-ins of the platform and of executors, the
// fakes of package fakes, as separate processes.
package stubs
