// Package stubs holds the verbs of the stand program, which runs stand-ins of the platform and of executors.
package stubs
