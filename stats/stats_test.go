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
	"waxwing.example/croft/shares"
	"waxwing.example/croft/window"
)

// unknownCommitTable is a table whose commits have an unknown outcome.
type unknownCommitTable struct{ croft.Table }

func (unknownCommitTable) Commit(context.Context, []croft.Op) (uint64, error) {
	return 0, &croft.LostAnswerError{Reason: "test"}
}

// servedText returns the response of the metrics handler.
func servedText(s *Stats) string {
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}

func TestMetricsAreServedInPrometheusFormat(t *testing.T) {
	s := New()
	s.CountDecision(croft.Decision{Action: "End"})
	s.RecordRequest("submit", "200", 30*time.Millisecond)
	s.SetLeading(true)
	s.CountInflowDrops("callers")("connections")
	s.RecordInflow("callers")(7, 4096)
	_, err := s.Table(unknownCommitTable{}).Commit(context.Background(), nil)
	assert.ErrorContains(t, err, "answer lost")
	got := servedText(s)
	for _, line := range []string{
		`croft_decisions_total{action="End"} 1`,
		`croft_request_seconds_bucket{request="submit",status="200",le="0.05"} 1`,
		`croft_calls_total{call="commit",outcome="no answer"} 1`,
		`croft_leading 1`,
		`croft_inflow_dropped_total{limit="connections",listener="callers"} 1`,
		`croft_inflow_connections{listener="callers"} 7`,
		`croft_inflow_body_bytes{listener="callers"} 4096`,
	} {
		assert.Assert(t, strings.Contains(got, line), line)
	}
}

// Guards against a gauge that shows the largest integer while there is no limit.
func TestOrdersLimitIsZeroWithoutALimit(t *testing.T) {
	s := New()
	s.SetOrdersLimit(24)
	assert.Assert(t, strings.Contains(servedText(s), "croft_orders_limit 24\n"))
	s.SetOrdersLimit(window.Unlimited)
	assert.Assert(t, strings.Contains(servedText(s), "croft_orders_limit 0\n"))
}

// The number of series must not grow with the number of queues.
func TestQueueSeriesAreLimited(t *testing.T) {
	s := New()
	for i := range 1000 {
		s.SetQueue(croft.QueueID(fmt.Sprint(i)), 1, 0)
	}
	assert.Equal(t, strings.Count(servedText(s), "croft_queue_waiting{"), maxQueues)
}

// The number of series must not grow with the number of organisations, and what has ended must not stay in them.
func TestUseSeriesAreLimited(t *testing.T) {
	s := New()
	uses := map[croft.OrganisationID]croft.Resources{}
	for i := range 100 {
		uses[croft.OrganisationID(fmt.Sprintf("o%03d", i))] = croft.Resources{MilliCores: 5}
	}
	s.SetUses(uses)
	got := servedText(s)
	assert.Equal(t, strings.Count(got, "croft_organisation_use{"), 3*(shares.MaxNames+1))
	assert.Assert(t, strings.Contains(got, `croft_organisation_use{organisation="other",resource="millicores"} 180`))
	s.SetUses(nil)
	got = servedText(s)
	assert.Assert(t, strings.Contains(got, `croft_organisation_use{organisation="o003",resource="millicores"} 0`))
	assert.Assert(t, strings.Contains(got, `croft_organisation_use{organisation="other",resource="millicores"} 0`))
}
