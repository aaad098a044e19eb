package daemon

import (
	"context"
	"sync"

	"github.com/google/uuid"

	"waxwing.example/croft"
)

// RefusedError tells that an operator's command was not taken.
type RefusedError struct{ Reason string }

// Error gives the reason.
func (e *RefusedError) Error() string { return "refused: " + e.Reason }

// questions matches operators' commands with the answers of the control goroutine.
type questions struct {
	mu      sync.Mutex
	waiting map[string]chan croft.Answer
}

func newQuestions() *questions {
	return &questions{waiting: map[string]chan croft.Answer{}}
}

// ask posts a command and waits for its answer; it returns *RefusedError or the context's error.
func (q *questions) ask(ctx context.Context, l *loop, at croft.At, command croft.Command) error {
	token := uuid.NewString()
	answered := make(chan croft.Answer, 1)
	q.mu.Lock()
	q.waiting[token] = answered
	q.mu.Unlock()
	defer func() {
		q.mu.Lock()
		delete(q.waiting, token)
		q.mu.Unlock()
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

func (q *questions) answer(a croft.Answer) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if answered, found := q.waiting[a.Token]; found {
		answered <- a
		delete(q.waiting, a.Token)
	}
}
