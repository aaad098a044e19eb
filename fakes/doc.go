// Package fakes holds stand-ins of the platform and of executors, for tests, the demo and the stand program.
package fakes
