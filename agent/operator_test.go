package agent

import (
	"context"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/clock"
	"waxwing.example/croft/intake"
	"waxwing.example/croft/logs"
	"waxwing.example/croft/setup"
	"waxwing.example/croft/stats"
)

// operatorCall is a call of the operator's feed.
type operatorCall struct {
	after  uint64
	wait   croft.Millis
	answer chan operatorAnswer
}

type operatorAnswer struct {
	changes croft.OperatorChanges
	err     error
}

// scriptedDirectory passes each call of the operator's feed to the test, which answers it.
type scriptedDirectory struct {
	croft.Directory
	calls chan operatorCall
}

func (d *scriptedDirectory) FollowOperator(ctx context.Context, after uint64, wait croft.Millis) (croft.OperatorChanges, error) {
	call := operatorCall{after: after, wait: wait, answer: make(chan operatorAnswer)}
	select {
	case d.calls <- call:
	case <-ctx.Done():
		return croft.OperatorChanges{}, ctx.Err()
	}
	select {
	case got := <-call.answer:
		return got.changes, got.err
	case <-ctx.Done():
		return croft.OperatorChanges{}, ctx.Err()
	}
}

// configValidity is how long a configuration may be used without a confirmation.
const configValidity = 3 * croft.Second

// operatorFeed is an agent that follows the operator's rows on a manual clock.
type operatorFeed struct {
	*Agent
	directory *scriptedDirectory
	clock     *clock.Manual
}

// followOperatorRows starts an agent's feed of the operator's rows.
func followOperatorRows(t *testing.T) operatorFeed {
	t.Helper()
	manual := clock.NewManual(croft.Hour)
	log := logs.New(io.Discard, setup.Log{Level: "info", Format: "json", Queue: 64}, manual)
	t.Cleanup(log.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	directory := &scriptedDirectory{calls: make(chan operatorCall)}
	jobIntake := intake.New(nil, manual, log, func() croft.Millis { return 0 }, configValidity, 0)
	a := New(Options{Self: "one", Intake: jobIntake, Directory: directory, Clock: manual, Log: log, Stats: stats.New(), ConfigApply: configValidity})
	go func() { _ = a.followOperator(ctx) }()
	return operatorFeed{Agent: a, directory: directory, clock: manual}
}

// next returns the next call of the feed, and lets the pause after a failed call pass.
func (f operatorFeed) next(t *testing.T) operatorCall {
	t.Helper()
	deadline := time.After(5 * time.Second)
	for {
		select {
		case call := <-f.directory.calls:
			return call
		case <-time.After(time.Millisecond):
			if f.clock.Sleepers() > 0 {
				f.clock.Advance(retryDelay)
			}
		case <-deadline:
			t.Fatal("the feed makes no call")
		}
	}
}

// Guards against a configuration that comes late after a cut: a feed returns each version that was missed, and over a small
// link the newest one arrived seconds after the first.
func TestOperatorRowsAreReadAnewAfterALongGap(t *testing.T) {
	f := followOperatorRows(t)
	call := f.next(t)
	assert.Equal(t, call.after, uint64(0))
	call.answer <- operatorAnswer{changes: croft.OperatorChanges{Version: 7, Config: &croft.QueueConfig{Version: 1}}}

	call = f.next(t)
	assert.Equal(t, call.after, uint64(7))
	f.clock.Advance(maxOperatorGap / 2)
	call.answer <- operatorAnswer{err: &croft.LostAnswerError{Reason: "test"}}
	call = f.next(t)
	assert.Equal(t, call.after, uint64(7), "a short gap is filled by the feed")

	f.clock.Advance(maxOperatorGap)
	call.answer <- operatorAnswer{err: &croft.LostAnswerError{Reason: "test"}}
	call = f.next(t)
	assert.Equal(t, call.after, uint64(0))
	call.answer <- operatorAnswer{changes: croft.OperatorChanges{Version: 20, Config: &croft.QueueConfig{Version: 9}}}
	assert.Equal(t, f.next(t).after, uint64(20))
	assert.Equal(t, f.Intake.Index().Version, uint64(9))
}

// Guards against a paused process that acts on an old configuration: an answer from before the pause, which it finds when it
// goes on, confirms the configuration only up to the time at which it was sent.
func TestAnswerFromBeforeAPauseDoesNotConfirmTheConfiguration(t *testing.T) {
	f := followOperatorRows(t)
	f.next(t).answer <- operatorAnswer{changes: croft.OperatorChanges{Version: 7, Config: &croft.QueueConfig{Version: 1}}}
	call := f.next(t)
	assert.Equal(t, call.wait, probeWait, "the answer after a change is not waited for")
	call.answer <- operatorAnswer{changes: croft.OperatorChanges{Version: 7}}
	assert.Assert(t, f.Intake.Index() != nil)

	call = f.next(t)
	assert.Equal(t, call.wait, followWait)
	f.clock.Advance(2 * configValidity)
	assert.Assert(t, f.Intake.Index() == nil)
	call.answer <- operatorAnswer{changes: croft.OperatorChanges{Version: 8}}
	call = f.next(t)
	assert.Assert(t, f.Intake.Index() == nil)
	call.answer <- operatorAnswer{changes: croft.OperatorChanges{Version: 9}}
	f.next(t)
	assert.Equal(t, f.Intake.Index().Version, uint64(1))
}
