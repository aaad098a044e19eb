package daemon

import (
	"context"
	"sync"

	"github.com/google/uuid"

	"waxwing.example/croft"
)

// RefusedError is returned if an operator's command was rejected and nothing was done.
type RefusedError struct{ Reason string }

// Error returns the reason.
func (e *RefusedError) Error() string { return "refused: " + e.Reason }

// pendingCommands passes the control loop's answers to the operators' commands that wait for them; commands and answers
// are matched by token.
type pendingCommands struct {
	mu sync.Mutex
	// waiting holds the channels to the waiting commands by token.
	waiting map[string]chan croft.Answer
}

func newPendingCommands() *pendingCommands {
	return &pendingCommands{waiting: map[string]chan croft.Answer{}}
}

// execute posts a command to the control loop and waits for its answer. It returns a *RefusedError if the command was
// refused or could not be queued, or the context's error if the context ended before the answer.
func (p *pendingCommands) execute(ctx context.Context, l *loop, at croft.At, command croft.Command) error {
	token := uuid.NewString()
	answered := make(chan croft.Answer, 1)
	p.mu.Lock()
	p.waiting[token] = answered
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.waiting, token)
		p.mu.Unlock()
	}()
	if !l.Post(croft.CommandReceived{At: at, Token: token, Command: command}) {
		return &RefusedError{Reason: "too many events are waiting"}
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case a := <-answered:
		if a.Refused != "" {
			return &RefusedError{Reason: a.Refused}
		}
		return nil
	}
}

// deliverAnswer passes an answer to the command that waits for it, unless its wait has ended.
func (p *pendingCommands) deliverAnswer(a croft.Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if waiter, found := p.waiting[a.Token]; found {
		waiter <- a
		delete(p.waiting, a.Token)
	}
}
