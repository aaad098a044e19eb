package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

// Tasks of a queue that needs advice start only on workers for which the advice service returned a ticket.
func TestStageNeedingAdviceStartsOnlyWithTickets(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 3)
	b.requireAdvice()
	effects := b.event(JobsRead{Jobs: []JobRow{testJob("j1", step(2, 40))}})
	assert.Equal(t, len(effectsOf[Start](effects)), 0)
	requests := effectsOf[Advise](effects)
	assert.Equal(t, len(requests), 1)
	assert.Equal(t, len(requests[0].Workers), 3)
	effects = b.event(Advised{Advise: requests[0], Tickets: map[croft.WorkerID]string{"w1": "t1"}, Valid: 3000})
	starts := effectsOf[Start](effects)
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Order.Worker, croft.WorkerID("w1"))
	assert.Equal(t, starts[0].Order.Ticket, "t1")
	// The service gave no tickets for the other workers and will not change that, so none are requested again.
	for range 20 {
		assert.Equal(t, len(effectsOf[Advise](b.advance(50))), 0)
	}
}

// A ticket that an executor refuses is dropped, and the planner requests a new one.
func TestRefusedTicketIsRequestedAgain(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	b.requireAdvice()
	requests := effectsOf[Advise](b.event(JobsRead{Jobs: []JobRow{testJob("j1", step(1, 4))}}))
	starts := effectsOf[Start](b.event(Advised{Advise: requests[0], Tickets: map[croft.WorkerID]string{"w0": "t1"}, Valid: 3000}))
	effects := b.event(Started{Start: starts[0], Clock: b.now, Err: &croft.RunRefusedError{Reason: croft.RefusedTicket}})
	assert.Equal(t, len(effectsOf[Advise](effects)), 1)
}

// Guards against jobs that never go on: once their queue was removed, the starts of their next steps had no permits, and executors
// refused them.
func TestJobsOfARemovedQueueStillNeedAdvice(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	b.requireAdvice()
	removed := testConfig()
	removed.Config.Version, removed.Config.Queues = 3, nil
	b.event(removed)
	row := testJob("j", step(1, 1))
	row.Record.NeedsAdvice = true
	effects := append(b.event(JobsRead{Jobs: []JobRow{row}}), b.advance(placeInterval)...)
	assert.Equal(t, len(effectsOf[Start](effects)), 0)
	requests := effectsOf[Advise](effects)
	assert.Equal(t, len(requests), 1)
	starts := effectsOf[Start](b.confirm(b.event(Advised{Advise: requests[0], Tickets: map[croft.WorkerID]string{"w0": "t"}, Valid: 3000})))
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Order.Ticket, "t")
}
