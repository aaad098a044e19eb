// Package fakes implements fakes of the platform and of executors, which speak the real protocols and inject faults on
// request, for tests, the demo and the stand program.
package fakes
