package stats

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

type failing struct{ croft.Table }

func (failing) Commit(context.Context, []croft.Op) (uint64, error) {
	return 0, &croft.LostAnswerError{Reason: "test"}
}

func text(s *Stats) string {
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}

func TestFiguresAreServedAsText(t *testing.T) {
	s := New()
	s.Decision(croft.Decision{Action: "End"})
	s.Request("submit", "200", 30*time.Millisecond)
	s.Leading(true)
	_, err := s.Table(failing{}).Commit(context.Background(), nil)
	assert.ErrorContains(t, err, "answer lost")
	got := text(s)
	for _, line := range []string{
		`croft_decisions_total{action="End"} 1`,
		`croft_request_seconds_bucket{request="submit",status="200",le="0.05"} 1`,
		`croft_calls_total{call="commit",outcome="no answer"} 1`,
		`croft_leading 1`,
	} {
		assert.Assert(t, strings.Contains(got, line), line)
	}
}

func TestQueuesAreBounded(t *testing.T) {
	s := New()
	for i := range 1000 {
		s.Queue(croft.QueueID(fmt.Sprint(i)), 1, 0)
	}
	assert.Equal(t, strings.Count(text(s), "croft_queue_waiting{"), mostQueues)
}
