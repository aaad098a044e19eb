package peer

import "github.com/cockroachdb/errors"

// ErrKey is returned where the other side does not hold the shared key.
var ErrKey = errors.New("peer: the other side does not hold the shared key")

// UnreachableError tells that a peer did not take a message or did not answer.
type UnreachableError struct {
	Address string
	Cause   error
}

// Error names the peer.
func (e *UnreachableError) Error() string {
	return "peer: " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }
