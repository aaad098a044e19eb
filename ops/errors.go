package ops

import (
	"fmt"
	"strings"
)

// RefusedError tells that nothing was done, by a rule.
type RefusedError struct{ Reason string }

// Error gives the reason.
func (e *RefusedError) Error() string { return "refused: " + e.Reason }

// InvalidError tells that nothing was done, since the body breaks the rules told.
type InvalidError struct {
	// Problems are texts that name the line and field.
	Problems []string
}

// Error returns one line for each problem.
func (e *InvalidError) Error() string { return strings.Join(e.Problems, "\n") }

// RaceError tells that nothing was done, since another acceptance came first.
type RaceError struct {
	Reviewed uint64
	InForce  uint64
	// Winner is who accepted the version in force.
	Winner string
}

// Error names the winner.
func (e *RaceError) Error() string {
	return fmt.Sprintf("not accepted: reviewed against version %d, but %s has accepted version %d", e.Reviewed, e.winner(), e.InForce)
}

func (e *RaceError) winner() string {
	if e.Winner == "" {
		return "another operator"
	}
	return e.Winner
}

// UnavailableError tells that nothing was done, since the platform is out of reach.
type UnavailableError struct{ Reason string }

// Error gives the reason.
func (e *UnavailableError) Error() string { return "not done: " + e.Reason }

// UnknownError tells that the command may or may not have been done.
type UnknownError struct{ Reason string }

// Error gives the reason.
func (e *UnknownError) Error() string { return "may or may not be done: " + e.Reason }

// DeniedError tells that the token is not the entry's.
type DeniedError struct{}

// Error says so.
func (e *DeniedError) Error() string { return "the entry does not take this token" }

// UnreachableError tells that no entry answered, so that nothing was done.
type UnreachableError struct {
	Address string
	Reason  string
}

// Error names the address.
func (e *UnreachableError) Error() string { return "no entry at " + e.Address + ": " + e.Reason }
