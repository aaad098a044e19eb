package peer

import "github.com/cockroachdb/errors"

// ErrKey is returned if the other side of a connection does not hold the shared key.
var ErrKey = errors.New("peer: the other side does not hold the shared key")

// UnreachableError is returned if a message could not be sent to a peer, or if the peer did not respond or
// responded with an error.
type UnreachableError struct {
	Address string
	Cause   error
}

// Error returns the peer's address and the cause.
func (e *UnreachableError) Error() string {
	return "peer: " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }
