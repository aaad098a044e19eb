package memory

import "runtime/debug"

const (
	// programMB is the resident size of the program file, of which the Go runtime knows nothing.
	programMB = 16
	// heapPercent is the share of the rest that the Go runtime may use; what remains is for sockets.
	heapPercent = 60
)

// Limit sets the runtime's memory limit for a process that may use some memory.
func Limit(processMB int64) {
	debug.SetMemoryLimit(max(processMB-programMB, programMB) << 20 * heapPercent / 100)
}
