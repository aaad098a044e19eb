package serve

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"waxwing.example/croft"
	"waxwing.example/croft/clock"
	"waxwing.example/croft/inflow"
)

type discardLog struct{}

func (discardLog) Log(croft.Decision) {}

// Guards against former servers that pile up with each change of the configuration, and keep idle connections longer than the
// configuration had allowed.
func TestFormerServerEndsAfterItsIdleTimeout(t *testing.T) {
	limits := inflow.SubmissionLimits(0, 0)
	gate := inflow.NewGate(inflow.Options{Limits: limits, Clock: clock.NewSystem(), Log: discardLog{}, Count: func(inflow.Reason) {}})
	l, err := inflow.Listen("127.0.0.1:0", limits)
	assert.NilError(t, err)
	var headerBytes atomic.Int64
	headerBytes.Store(16 << 10)
	s := NewSwitch(gate.Wrap(l), Requests(http.NotFoundHandler(), croft.Second), HeaderLimits{}, func(HeaderLimits) HeaderLimits {
		return HeaderLimits{Bytes: int(headerBytes.Load()), Timeout: croft.Second, Idle: croft.Second}
	})
	go func() { _ = s.Serve() }()
	t.Cleanup(func() { s.Shutdown(context.Background()) })
	get := func() {
		resp, err := http.Get("http://" + s.Addr().String())
		assert.NilError(t, err)
		resp.Body.Close()
	}
	retired := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.retired)
	}
	get()
	assert.Equal(t, retired(), 0)
	headerBytes.Add(1)
	http.DefaultClient.CloseIdleConnections()
	get()
	assert.Equal(t, retired(), 1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := retired(); n > 0 {
			return poll.Continue("%d former servers", n)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
}
