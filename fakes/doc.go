// Package fakes implements fakes of the platform and of executors, as an entry of package daemon expects them. They
// speak the real protocols, those of packages plat and invoke, and inject faults on request. Tests and the demo run
// them in their own process, package stubs as separate processes.
package fakes
