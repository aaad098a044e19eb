package retry

import (
	"errors"
	"sync"

	"waxwing.example/croft"
)

const (
	// retryCost is what one retry takes from the bucket: a whole token, in thousandths of a token.
	retryCost = 1000
	// maxTokens is the capacity of the bucket, in thousandths of a token: at most ten retries in a burst.
	maxTokens = 10 * retryCost
	// maxAttempts bounds the attempts of one request, including the first.
	maxAttempts = 4
)

// Try describes a request whose last attempt failed.
type Try struct {
	Now      croft.Millis
	Deadline croft.Millis
	// Repeatable says that the request may run more than once.
	Repeatable bool
	// Attempts is the number of attempts made, including the first.
	Attempts int
	// Err is the error of the last attempt.
	Err error
}

// Decision says whether to make another attempt, and why or why not.
type Decision struct {
	// Retry says that another attempt may be made.
	Retry bool
	// Reason is logged with a retry, and sent to the caller if there is none.
	Reason string
}

// Policy decides on retries; it is safe for concurrent use.
type Policy interface {
	// CountRequest counts the first attempt of a request.
	CountRequest()
	// Decide returns whether to retry after a failed attempt.
	Decide(try Try) Decision
}

// Budget limits retries to a fraction of the first attempts, by a token bucket as in Finagle's retry budget.
type Budget struct {
	mu sync.Mutex
	// earnedPerRequest is what each first attempt adds to the bucket, in thousandths of a token.
	earnedPerRequest int
	// tokens is the level of the bucket, in thousandths of a token.
	tokens int
}

// NewBudget returns a full budget; share is the retries earned by each first attempt, in thousandths of a retry.
func NewBudget(share int) *Budget { return &Budget{earnedPerRequest: share, tokens: maxTokens} }

// CountRequest counts the first attempt of a request, which adds to the bucket.
func (b *Budget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.earnedPerRequest, maxTokens)
}

// Decide returns whether to retry after a failed attempt, and takes the retry's cost from the bucket.
func (b *Budget) Decide(try Try) Decision {
	if reason := refusalReason(try); reason != "" {
		return Decision{Reason: reason}
	}
	if try.Attempts >= maxAttempts {
		return Decision{Reason: "most attempts made"}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < retryCost {
		return Decision{Reason: "retry budget is spent"}
	}
	b.tokens -= retryCost
	return Decision{Retry: true, Reason: retryReason(try.Err)}
}

// refusalReason returns why no policy may retry, empty if they may: a request that may have run is never retried
// unless it is repeatable, and none is retried after its deadline.
func refusalReason(try Try) string {
	var refused *croft.RefusedError
	if !errors.As(try.Err, &refused) && !try.Repeatable {
		return "may have run"
	}
	if try.Now >= try.Deadline {
		return "deadline is past"
	}
	return ""
}

// retryReason returns why an attempt may be retried, for the decision log.
func retryReason(err error) string {
	var refused *croft.RefusedError
	if errors.As(err, &refused) {
		return "the executor did not run the attempt"
	}
	return "the attempt may have run, but the request is repeatable"
}

// Always retries until the deadline, without a budget or a limit on attempts, unless a request that is not repeatable may
// have run; it is the baseline for comparisons.
type Always struct{}

// CountRequest does nothing.
func (Always) CountRequest() {}

// Decide returns whether to retry after a failed attempt.
func (Always) Decide(try Try) Decision {
	if reason := refusalReason(try); reason != "" {
		return Decision{Reason: reason}
	}
	return Decision{Retry: true, Reason: retryReason(try.Err)}
}
