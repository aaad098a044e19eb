// Package memory makes the Go runtime keep to the memory limit of a process.
package memory
