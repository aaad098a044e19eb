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

// pendingCommands matches the answers of the control goroutine with the operators' commands that wait for them, by token.
type pendingCommands struct {
	mu      sync.Mutex
	waiting map[string]chan croft.Answer
}

func newPendingCommands() *pendingCommands {
	return &pendingCommands{waiting: map[string]chan croft.Answer{}}
}

// execute posts a command to the control loop and waits for its answer. It returns a *RefusedError, or the context's
// error if no answer came in time.
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

// deliverAnswer passes an answer to the command that waits for it, if it still does.
func (p *pendingCommands) deliverAnswer(a croft.Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if response, found := p.waiting[a.Token]; found {
		response <- a
		delete(p.waiting, a.Token)
	}
}
