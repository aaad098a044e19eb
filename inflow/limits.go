package inflow

import "waxwing.example/croft"

// shares are divisors of the limits of a process, which yield the limits of one listener; zero is none.
type shares struct {
	// descriptors is a divisor of the descriptors, and connections one of the memory; the lower result counts.
	descriptors, connections int64
	// received, processed and responses are divisors of the memory.
	received, processed, responses int64
}

// The shares of listeners. Those of submissions are a third of the memory; the runtime may use 60 percent, and an entry that does not
// lead has some 10 MB of live data. A leader of 300 executors needs 3,353 connections of 4,100 descriptors.
var (
	submissionShares = shares{descriptors: 10, connections: 6, received: 16, processed: 8}
	forwardShares    = shares{descriptors: 10, connections: 6, received: 16, processed: 8, responses: 8}
	operatorShares   = shares{descriptors: 10, connections: 12, received: 32, processed: 16, responses: 16}
	// peerShares leave room for the connections of some hundred entries.
	peerShares = shares{descriptors: 4, connections: 6, processed: 16}
)

const (
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
	return submissionShares.of(memoryMB, descriptors)
}

// ForwardLimits returns the limits of a listener whose requests are forwarded to executors, and their replies to the clients.
func ForwardLimits(memoryMB, descriptors int64) Limits {
	return forwardShares.of(memoryMB, descriptors)
}

// OperatorLimits returns the limits of a listener for operators.
func OperatorLimits(memoryMB, descriptors int64) Limits {
	return operatorShares.of(memoryMB, descriptors)
}

// PeerLimits returns the limits of a listener for other entries.
func PeerLimits(memoryMB, descriptors int64) Limits { return peerShares.of(memoryMB, descriptors) }

// of returns the limits of a listener, by the limits of the process.
func (s shares) of(memoryMB, descriptors int64) Limits {
	if memoryMB <= 0 {
		memoryMB = fallbackMemoryMB
	}
	if descriptors <= 0 {
		descriptors = fallbackDescriptors
	}
	memory := memoryMB << 20
	part := func(divisor int64) int64 {
		if divisor == 0 {
			return 0
		}
		return memory / divisor
	}
	return Limits{
		Connections:    int(max(minConnections, min(descriptors/s.descriptors, part(s.connections)/connectionBytes))),
		ReceivedBytes:  part(s.received),
		ProcessedBytes: part(s.processed),
		ResponseBytes:  part(s.responses),
	}
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
