// Package stubs implements the verbs of the stand program, which runs stand-ins of the platform and of executors as
// processes of their own.
package stubs
