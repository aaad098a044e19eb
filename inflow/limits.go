package inflow

import "waxwing.example/croft"

// Shares of the process's limits that connections and bodies of callers may use.
const (
	// descriptorShare is the divisor of max_fds: a leader of 300 executors needs 3,353 connections of 4,100 descriptors.
	descriptorShare = 10
	// connectionShare, receivedShare and processedShare are divisors of memory_mb. Together they are a third of it;
	// the runtime may use 60 percent, and an entry that does not lead has some 10 MB of live data.
	connectionShare = 6
	receivedShare   = 16
	processedShare  = 8
	responseShare   = 8
	// connectionBytes is the maximum memory of one connection without its body: the kernel's buffers, which are twice
	// the sizes set, 64 KB for the goroutine, the server's buffers and the headers, and the received bytes of a
	// connection that waits to be accepted, of which there may be as many as are open.
	connectionBytes = 2*(2*receiveBufferBytes+sendBufferBytes) + 64<<10
	// minConnections keeps an entry with very small limits in service.
	minConnections = 16
	// fallbackMemoryMB and fallbackDescriptors are the limits of the smallest machine; they apply if the settings
	// have none.
	fallbackMemoryMB    = 184
	fallbackDescriptors = 4100
)

// Sizes of the kernel's buffers of a connection, before the kernel doubles them.
const (
	// receiveBufferBytes lets 16 KB arrive per round trip: 8 MB/s at 2 ms, above the 10 Mbit/s of the smallest machine.
	receiveBufferBytes = 16 << 10
	// sendBufferBytes takes any response to a caller at once, so that no handler waits for the caller to read.
	sendBufferBytes = 16 << 10
)

// Shares of the process's memory that the listeners of operators and peers may use.
const (
	trustedConnectionShare = 12
	trustedReceivedShare   = 32
	trustedProcessedShare  = 16
)

// ProcessedFactor is the number of bytes of memory that a byte of a body needs from its decoding to the end of the
// submission; TestProcessedFactor measures the largest for valid bodies.
const ProcessedFactor = 24

// Limits are the limits of one listener.
type Limits struct {
	// Connections is the maximum number of open connections.
	Connections int
	// ReceivedBytes is the maximum size of the buffers of bodies that are being received or wait to be processed.
	ReceivedBytes int64
	// ProcessedBytes is the maximum of the memory of requests in progress.
	ProcessedBytes int64
	// ResponseBytes is the maximum of the memory of responses that are being received for clients or sent to them.
	ResponseBytes int64
}

// SubmissionLimits returns the limits of a listener whose requests are decoded and stored, derived from the limits of the
// process; zero means unknown.
func SubmissionLimits(memoryMB, descriptors int64) Limits {
	memory, descriptors := orFallback(memoryMB, descriptors)
	return Limits{
		Connections:    connections(memory/connectionShare, descriptors),
		ReceivedBytes:  memory / receivedShare,
		ProcessedBytes: memory / processedShare,
	}
}

// ForwardLimits returns the limits of a listener whose requests are forwarded to executors, and their replies to the clients.
func ForwardLimits(memoryMB, descriptors int64) Limits {
	limits := SubmissionLimits(memoryMB, descriptors)
	memory, _ := orFallback(memoryMB, descriptors)
	limits.ResponseBytes = memory / responseShare
	return limits
}

// TrustedLimits returns the limits of a listener for clients that hold a key of the deployment: operators and peers.
func TrustedLimits(memoryMB, descriptors int64) Limits {
	memory, descriptors := orFallback(memoryMB, descriptors)
	return Limits{
		Connections:    connections(memory/trustedConnectionShare, descriptors),
		ReceivedBytes:  memory / trustedReceivedShare,
		ProcessedBytes: memory / trustedProcessedShare,
		ResponseBytes:  memory / trustedProcessedShare,
	}
}

// orFallback returns the memory in bytes and the descriptors of a process, those of the smallest machine if they are not known.
func orFallback(memoryMB, descriptors int64) (int64, int64) {
	if memoryMB <= 0 {
		memoryMB = fallbackMemoryMB
	}
	if descriptors <= 0 {
		descriptors = fallbackDescriptors
	}
	return memoryMB << 20, descriptors
}

// connections returns the number of connections that fit some memory and the share of the descriptors.
func connections(memory, descriptors int64) int {
	return int(max(minConnections, min(descriptors/descriptorShare, memory/connectionBytes)))
}

// ProbeLimits are the limits of a listener for readiness probes or metrics: probes come once a second from a few balancers,
// and their requests have no bodies.
func ProbeLimits() Limits { return Limits{Connections: minConnections} }

// Reason is the limit for which something was dropped.
type Reason string

// The reasons.
const (
	// ReasonConnections means that a connection was closed to make room for a new one.
	ReasonConnections Reason = "connections"
	// ReasonDelayed means that a new connection had to wait, since no other one could be closed yet.
	ReasonDelayed Reason = "delayed"
	// ReasonReceived means that a body was dropped to make room for another.
	ReasonReceived Reason = "received-bytes"
	// ReasonProcessed means that a body was received whole and answered 503, since others were being processed.
	ReasonProcessed Reason = "processed-bytes"
	// ReasonResponses means that a connection whose client did not read its response was closed to make room for another response.
	ReasonResponses Reason = "response-bytes"
	// ReasonWaiting means that a request that waited was answered 503 to make room for a new connection.
	ReasonWaiting Reason = "waiting"
	// ReasonAccept means that accepting a connection failed, for lack of descriptors or otherwise.
	ReasonAccept Reason = "accept"
	// ReasonBodyTime means that a body did not arrive within the timeout of its queue.
	ReasonBodyTime Reason = "body-time"
	// ReasonHeaderTime means that the headers did not arrive in time.
	ReasonHeaderTime Reason = "header-time"
	// ReasonHeaderBytes means that the headers were too large.
	ReasonHeaderBytes Reason = "header-bytes"
	// ReasonIdleTime means that no further request arrived on a connection in time.
	ReasonIdleTime Reason = "idle-time"
	// ReasonWriteTime means that the client did not read a response in time.
	ReasonWriteTime Reason = "write-time"
)

// Times that a connection has before it may be closed in favour of a new one, and pauses of the listener.
const (
	// minUnfinished lets a handler read what has arrived: when many connections arrive at once, they are accepted before
	// the handlers of the first ones run, and a processor quota may stop the process for most of 100 ms.
	minUnfinished = 100 * croft.Millis(1)
	// minStalled is far longer than a client that reads needs for a response, which fits the send buffer.
	minStalled = 500 * croft.Millis(1)
	// acceptPause is the pause after a failed accept.
	acceptPause = 20 * croft.Millis(1)
	// maxWait is how long a new connection waits before the decision about it is repeated.
	maxWait = 100 * croft.Millis(1)
)
