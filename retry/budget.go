package retry

import (
	"errors"
	"sync"

	"waxwing.example/croft"
)

const (
	// firstCost is a whole token in thousandths.
	firstCost = 1000
	// maxTokens bounds what is saved in quiet times, in thousandths of a token.
	maxTokens = 10 * firstCost
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 4
)

// Try describes the attempts of a request so far.
type Try struct {
	Now        croft.Millis
	Deadline   croft.Millis
	Repeatable bool
	// Attempts counts those that were made.
	Attempts int
	// Err is how the last one ended.
	Err error
}

// Verdict is whether to try again and why.
type Verdict struct {
	Again  bool
	Reason string
}

// Policy decides on further attempts.
type Policy interface {
	// First counts a request's first attempt.
	First()
	// Again decides after a failed attempt.
	Again(try Try) Verdict
}

// Budget allows further attempts as a share of the first ones (a token bucket, as in Finagle's retry budget).
type Budget struct {
	mu sync.Mutex
	// share is what a first attempt earns, in thousandths of a token.
	share  int
	tokens int
}

// NewBudget returns a full budget that earns thousandths of a further attempt with each first one.
func NewBudget(share int) *Budget { return &Budget{share: share, tokens: maxTokens} }

// First counts a request's first attempt.
func (b *Budget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, maxTokens)
}

// Again decides after a failed attempt.
func (b *Budget) Again(try Try) Verdict {
	if refused := check(try); refused != "" {
		return Verdict{Reason: refused}
	}
	if try.Attempts >= maxAttempts {
		return Verdict{Reason: "most attempts made"}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < firstCost {
		return Verdict{Reason: "retry budget is spent"}
	}
	b.tokens -= firstCost
	return Verdict{Again: true, Reason: reasonOf(try.Err)}
}

// check holds for every policy: what may have run is never repeated unless it is repeatable.
func check(try Try) string {
	var refused *croft.RefusedError
	if !errors.As(try.Err, &refused) && !try.Repeatable {
		return "may have run"
	}
	if try.Now >= try.Deadline {
		return "deadline is past"
	}
	return ""
}

func reasonOf(err error) string {
	var refused *croft.RefusedError
	if errors.As(err, &refused) {
		return "executor did not run it"
	}
	return "repeatable"
}

// Always tries again as long as the deadline allows, whatever it costs.
type Always struct{}

// First counts nothing.
func (Always) First() {}

// Again decides after a failed attempt.
func (Always) Again(try Try) Verdict {
	if refused := check(try); refused != "" {
		return Verdict{Reason: refused}
	}
	return Verdict{Again: true, Reason: reasonOf(try.Err)}
}
