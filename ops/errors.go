package ops

import (
	"fmt"
	"strings"
)

// RefusedError is returned if the entry rejected a command and nothing was done.
type RefusedError struct{ Reason string }

// Error returns the reason.
func (e *RefusedError) Error() string { return "refused: " + e.Reason }

// InvalidError is returned if a request was not valid and nothing was done.
type InvalidError struct {
	// Problems are descriptions of the invalid parts, each with its line or field.
	Problems []string
}

// Error returns the problems, one per line.
func (e *InvalidError) Error() string { return strings.Join(e.Problems, "\n") }

// RaceError is returned if a configuration was not accepted because another was accepted after the review.
type RaceError struct {
	// Reviewed is the version that the request was based on, InForce the version that has replaced it.
	Reviewed uint64
	InForce  uint64
	// Winner is the operator who accepted the version in force, empty if not known.
	Winner string
}

// Error returns both versions and the operator who accepted the one in force.
func (e *RaceError) Error() string {
	return fmt.Sprintf("not accepted: reviewed against version %d, but %s has accepted version %d", e.Reviewed, e.winner(), e.InForce)
}

func (e *RaceError) winner() string {
	if e.Winner == "" {
		return "another operator"
	}
	return e.Winner
}

// UnavailableError is returned if nothing was done because the platform is unreachable or the entry has no memory for the request.
type UnavailableError struct{ Reason string }

// Error returns the reason.
func (e *UnavailableError) Error() string { return "not done: " + e.Reason }

// UnknownError is returned if a command may or may not have been executed.
type UnknownError struct{ Reason string }

// Error returns the reason.
func (e *UnknownError) Error() string { return "may or may not be done: " + e.Reason }

// DeniedError is returned if a request's token differs from the one in the entry's settings.
type DeniedError struct{}

// Error returns a fixed text.
func (e *DeniedError) Error() string { return "the entry does not take this token" }

// UnreachableError is returned if no command can have reached the entry: there was no connection, or the call was a
// read and got no valid response.
type UnreachableError struct {
	Address string
	Reason  string
}

// Error returns the address and the reason.
func (e *UnreachableError) Error() string { return "no entry at " + e.Address + ": " + e.Reason }
