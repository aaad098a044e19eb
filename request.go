package croft

import (
	"context"
	"net/http"
)

// Outcome is what a caller is told of its request.
type Outcome string

// The three outcomes of a request.
const (
	// OutcomeAnswered comes with the executor's whole answer.
	OutcomeAnswered Outcome = "Answered"
	// OutcomeNotRun promises that the request did not run and will not; for a repeatable one, this sending of it.
	OutcomeNotRun Outcome = "NotRun"
	// OutcomeUnknown says that the request may have run.
	OutcomeUnknown Outcome = "Unknown"
)

// Request is a caller's request as an entry accepted it.
type Request struct {
	Class Class
	// Key is the caller's Idempotency-Key, or an id made by the entry.
	Key string
	// Repeatable is the service's word, or the caller's stricter one.
	Repeatable bool
	// Arrived is when the entry read the request, by its wall clock.
	Arrived Millis
	// Deadline is the instant after which an answer is of no use, by the entry's wall clock.
	Deadline    Millis
	ContentType string
	Body        []byte
}

// Attempt is one dispatch of a request to an executor.
type Attempt struct {
	// ID is fresh for each attempt and echoed by the executor.
	ID      string
	Request Request
}

// Reply is an executor's whole answer.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Leaving says that the executor takes no further work.
	Leaving bool
}

// Endpoint is an executor that may be given work.
type Endpoint struct {
	VM         VMID
	Pool       PoolID
	DataCentre DataCentre
	Rack       RackID
	Address    string
	Boot       uint64
}

// Executor runs attempts on endpoints.
type Executor interface {
	// Run returns the whole reply, a *RefusedError where the attempt surely did not run,
	// or a *DoubtError where it may have.
	Run(ctx context.Context, endpoint Endpoint, attempt Attempt) (Reply, error)
}

// RefusedError tells that an attempt did not run and will not.
type RefusedError struct {
	Reason string
	// Leaving says that the executor takes no further work.
	Leaving bool
	// Busy says that the executor has no free slot or connection.
	Busy bool
}

// Error gives the reason.
func (e *RefusedError) Error() string { return "executor: not run: " + e.Reason }

// DoubtError tells that an attempt may have run.
type DoubtError struct{ Reason string }

// Error gives the reason.
func (e *DoubtError) Error() string { return "executor: outcome unknown: " + e.Reason }

// Claimer takes the one claim that lets a request that may not be repeated run.
type Claimer interface {
	// Claim returns nil once the claim is this attempt's alone, a *ClaimedError where another
	// attempt has it, or a *NoClaimError where none could be taken and nothing may run.
	Claim(ctx context.Context, request Request, attempt string) error
	// Release gives back the claim of an attempt that surely did not run; failing is safe.
	Release(ctx context.Context, request Request, attempt string)
}

// ClaimedError tells that an earlier attempt holds the claim, so the request may have run.
type ClaimedError struct {
	// Attempt is the holder's attempt id.
	Attempt string
}

// Error names the holder.
func (e *ClaimedError) Error() string { return "claim: held by attempt " + e.Attempt }

// NoClaimError tells that no claim was taken.
type NoClaimError struct{ Reason string }

// Error gives the reason.
func (e *NoClaimError) Error() string { return "claim: not taken: " + e.Reason }
