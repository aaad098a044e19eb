package intake

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/clock"
	"waxwing.example/croft/jobs"
)

// delivery is what happens to the transactions that a table receives.
type delivery int

const (
	// prompt transactions are carried out and answered at once.
	prompt delivery = iota
	// delayed transactions are carried out and answered when told.
	delayed
	// lost transactions are carried out when told, and their answers are lost.
	lost
)

// lateTransactions is a table whose transactions can be held back.
type lateTransactions struct {
	lockedTable
	delivery delivery
	// pending has a channel for each transaction that is held back.
	pending []chan struct{}
}

func newLateTransactions() *lateTransactions {
	return &lateTransactions{lockedTable: newLockedTable()}
}

func (l *lateTransactions) Commit(ctx context.Context, ops []croft.Op) (uint64, error) {
	l.mu.Lock()
	delivery, arrival := l.delivery, make(chan struct{})
	if delivery == prompt {
		close(arrival)
	} else {
		l.pending = append(l.pending, arrival)
	}
	l.mu.Unlock()
	carryOut := func() (uint64, error) {
		<-arrival
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.fakeTable.Commit(ctx, ops)
	}
	if delivery == lost {
		go func() { _, _ = carryOut() }()
		return 0, &croft.LostAnswerError{Reason: "test"}
	}
	return carryOut()
}

// setDelivery sets what happens to the next transactions.
func (l *lateTransactions) setDelivery(delivery delivery) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delivery = delivery
}

// carryOutPending carries out the transactions that are held back.
func (l *lateTransactions) carryOutPending() {
	l.mu.Lock()
	for _, arrival := range l.pending {
		close(arrival)
	}
	l.pending = nil
	l.mu.Unlock()
	synctest.Wait()
}

// rowOf returns the row of the test's job in a table of jobs, with Version zero if there is none.
func (l *lateTransactions) rowOf(table string) croft.Row {
	return l.rows[jobs.Key(table, jobs.Part(queue.ID, id), id)]
}

// newEntryOn returns the Intake of an entry.
func newEntryOn(table croft.Table) *Intake {
	return New(table, clock.NewSystem(), discardLog{}, func() croft.Millis { return 0 }, croft.Hour, testRowBytes)
}

// The events around a job that is cancelled, each a request or what happens to an earlier one.
const (
	submitLost      = 'S'
	submitDelayed   = 'H'
	lateTransaction = 'L'
	repeatElsewhere = 'R'
	lateDuplicate   = 'D'
	restart         = 'C'
	cancellation    = 'K'
)

// requestTimeout is how long the callers of the tests wait for a response.
const requestTimeout = 20 * time.Millisecond

// orderTest plays events around a job in some order.
type orderTest struct {
	table   *lateTransactions
	entries []*Intake
	// cancelledAt is the index of the entry that receives the cancellation, whose result is cancelErr.
	cancelledAt int
	cancelErr   error
}

// play makes an event happen; the callers of submissions that are held back have left when it returns.
func (o *orderTest) play(event rune) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	target := Target{Queue: queue, ID: id}
	switch event {
	case submitLost, submitDelayed:
		o.table.setDelivery(map[rune]delivery{submitLost: lost, submitDelayed: delayed}[event])
		o.entries[0].Submit(ctx, target, croft.JobSpec{})
		// The writer sends nothing more once its last caller has left.
		time.Sleep(2 * retryDelay.Duration())
		o.table.setDelivery(prompt)
	case lateTransaction:
		o.table.carryOutPending()
	case repeatElsewhere:
		o.entries[1].Submit(ctx, target, croft.JobSpec{})
	case lateDuplicate:
		newEntryOn(o.table).Submit(ctx, target, croft.JobSpec{})
	case restart:
		o.entries[0] = newEntryOn(o.table)
	case cancellation:
		o.cancelErr = o.entries[o.cancelledAt].Cancel(ctx, target)
	}
}

// check checks what callers were told against what is stored, after all transactions have been carried out.
func (o *orderTest) check(t *testing.T, order string) {
	t.Helper()
	target := Target{Queue: queue, ID: id}
	progress, err := jobs.DecodeProgress(o.table.rowOf(jobs.StateTable).Value)
	assert.NilError(t, err, order)
	assert.Equal(t, progress.Status, jobs.Canceled, order)
	_, statusErr := o.entries[1].Status(shortContext(t), target)
	isStored := o.table.rowOf(jobs.JobTable).Version > 0
	if o.cancelErr != nil {
		assert.ErrorIs(t, o.cancelErr, ErrNoJob, order)
		assert.Assert(t, !isStored, order)
		assert.ErrorIs(t, statusErr, ErrNoJob, order)
		return
	}
	assert.NilError(t, statusErr, order)
	assert.Assert(t, isStored && o.table.rowOf(jobs.CancelTable).Version > 0, order)
}

// permutations calls visit with each order of some letters.
func permutations(prefix, letters string, visit func(string)) {
	if letters == "" {
		visit(prefix)
	}
	for n, letter := range letters {
		permutations(prefix+string(letter), letters[:n]+letters[n+1:], visit)
	}
}

// Guards against a job that is stored and runs after its cancellation was answered with 410, since its submission was still under way
// to the store, was repeated at another entry, or arrived late; the entry that had received it may have restarted.
func TestCancelledJobIsNotStoredInAnyOrder(t *testing.T) {
	for _, events := range []string{"SLRDCK", "HLRDCK"} {
		for cancelledAt := range 2 {
			permutations("", events, func(order string) {
				synctest.Test(t, func(t *testing.T) {
					table := newLateTransactions()
					o := &orderTest{table: table, entries: []*Intake{newEntryOn(table), newEntryOn(table)}, cancelledAt: cancelledAt}
					for _, event := range order {
						o.play(event)
					}
					table.carryOutPending()
					o.check(t, fmt.Sprintf("order %s, cancelled at entry %d", order, cancelledAt))
				})
			})
		}
	}
}

// cancellationTest is an entry, and a job of either of two organisations with the same ID.
type cancellationTest struct {
	table     *slowTable
	intake    *Intake
	red, blue Target
}

func newCancellationTest() *cancellationTest {
	table := &slowTable{lockedTable: newLockedTable()}
	return &cancellationTest{
		table: table, intake: newEntryOn(table),
		red: Target{Queue: queue, Organisation: "red", ID: id}, blue: Target{Queue: queue, Organisation: "blue", ID: id},
	}
}

// submit submits a job and checks the outcome.
func (c *cancellationTest) submit(t *testing.T, target Target, want Outcome) {
	t.Helper()
	outcome, _ := c.intake.Submit(shortContext(t), target, croft.JobSpec{})
	assert.Equal(t, outcome, want)
}

// cancelMissing cancels a job that the caller must not learn of.
func (c *cancellationTest) cancelMissing(t *testing.T, target Target) {
	t.Helper()
	assert.ErrorIs(t, c.intake.Cancel(shortContext(t), target), ErrNoJob)
	_, err := c.intake.Status(shortContext(t), target)
	assert.ErrorIs(t, err, ErrNoJob)
}

// Guards against an organisation that cancels the jobs of another one, stored or not, and against one whose own cancelled jobs are stored
// since another one has cancelled the same ID.
func TestCancellationsHoldForTheJobsOfTheirOrganisation(t *testing.T) {
	t.Run("stored", func(t *testing.T) {
		c := newCancellationTest()
		c.submit(t, c.red, Accepted)
		before := c.table.version
		c.cancelMissing(t, c.blue)
		assert.Equal(t, c.table.version, before)
		status, err := c.intake.Status(shortContext(t), c.red)
		assert.NilError(t, err)
		assert.Equal(t, status, jobs.Pending)
	})
	t.Run("submitted later", func(t *testing.T) {
		c := newCancellationTest()
		c.cancelMissing(t, c.blue)
		c.submit(t, c.red, Accepted)
		c.submit(t, c.blue, Conflict)
		c.cancelMissing(t, c.blue)
		assert.NilError(t, c.intake.Cancel(shortContext(t), c.red))
	})
	t.Run("cancelled by both", func(t *testing.T) {
		c := newCancellationTest()
		c.cancelMissing(t, c.blue)
		c.cancelMissing(t, c.red)
		c.submit(t, c.red, Cancelled)
		c.submit(t, c.blue, Cancelled)
	})
	t.Run("cancelled by the caller of a public queue", func(t *testing.T) {
		c := newCancellationTest()
		c.cancelMissing(t, Target{Queue: queue, ID: id})
		c.submit(t, c.red, Cancelled)
	})
	t.Run("removed meanwhile", func(t *testing.T) {
		c := newCancellationTest()
		c.cancelMissing(t, c.blue)
		c.table.setFail(func(n int) error {
			if n == 3 {
				clear(c.table.rows)
			}
			return nil
		})
		c.submit(t, c.red, Accepted)
		assert.Equal(t, c.table.commits, 4)
	})
}

// Guards against 410 for a cancellation that the store has not confirmed: the job may be stored.
func TestUnconfirmedCancellationIsNotAcknowledged(t *testing.T) {
	for name, cause := range map[string]error{
		"lost":    &croft.LostAnswerError{Reason: "test"},
		"refused": &croft.UnavailableError{Reason: "test"},
		"invalid": &croft.UnavailableError{Reason: "test", Invalid: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCancellationTest()
			c.table.setFail(func(int) error { return cause })
			assert.ErrorIs(t, c.intake.Cancel(shortContext(t), c.red), ErrCancelUnknown)
			assert.Equal(t, len(c.table.rows), 0)
			c.table.setFail(nil)
			c.submit(t, c.red, Accepted)
		})
	}
	t.Run("outage", func(t *testing.T) {
		c := newCancellationTest()
		c.table.outage = &croft.UnavailableError{Reason: "test"}
		assert.ErrorIs(t, c.intake.Cancel(shortContext(t), c.red), ErrStoreUnavailable)
	})
}

// Guards against 503, which says that nothing was done, for a cancellation whose answer was lost before the store stopped answering.
func TestLostCancellationIsUnknownDuringAnOutage(t *testing.T) {
	c := newCancellationTest()
	c.submit(t, c.red, Accepted)
	c.table.setFail(func(int) error {
		c.table.outage = &croft.UnavailableError{Reason: "test"}
		return &croft.LostAnswerError{Reason: "test"}
	})
	assert.ErrorIs(t, c.intake.Cancel(shortContext(t), c.red), ErrCancelUnknown)
}

// Guards against a store that is written for each repetition of a cancellation.
func TestRepeatedCancellationOfAMissingJobWritesNothing(t *testing.T) {
	c := newCancellationTest()
	for range 5 {
		c.cancelMissing(t, c.red)
	}
	assert.Equal(t, c.table.commits, 1)
	assert.Equal(t, len(c.table.rows), 1)
}

// The load of a wave of callers that give up on a slow store: each cancellation was a transaction of its own, and most had no response.
func TestCancellationsOfMissingJobsShareTransactions(t *testing.T) {
	store := &slowTable{lockedTable: newLockedTable(), duration: 100 * time.Millisecond}
	g := newGroupWriter(store, clock.NewSystem())
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var group sync.WaitGroup
	for _, id := range jobIDs(60) {
		group.Go(func() {
			assert.Check(t, g.commitTombstone(ctx, "q.0", croft.Op{Kind: croft.OpPut, Key: jobs.Key(jobs.StateTable, "q.0", id), Value: []byte("{}")}))
		})
	}
	group.Wait()
	assert.Assert(t, store.commits <= 5, "%d transactions", store.commits)
	assert.Equal(t, len(store.rows), 60)
}

// Guards against callers that fill the store with IDs that nobody has submitted, and against an organisation whose callers leave the others
// no cancellations.
func TestTombstonesAreLimited(t *testing.T) {
	l := newTombstoneLimit()
	count := func(org croft.OrganisationID, elapsed croft.Millis) int {
		allowed := 0
		for range 2 * tombstoneBurst {
			if l.allow(org, elapsed) {
				allowed++
			}
		}
		return allowed
	}
	assert.Equal(t, count("red", 0), tombstoneBurst/organisationDivisor)
	assert.Equal(t, count("blue", 0), tombstoneBurst/organisationDivisor)
	assert.Equal(t, count("", 0), tombstoneBurst/2)
	assert.Equal(t, count("green", 0), 0)
	const later = 8 * croft.Second
	assert.Equal(t, count("red", later), 8*tombstonesPerSecond/organisationDivisor)
	assert.Equal(t, count("", later), 8*tombstonesPerSecond*(organisationDivisor-1)/organisationDivisor)
	assert.Equal(t, count("", croft.Minute), tombstoneBurst)

	c := newCancellationTest()
	refused := 0
	for n := range tombstoneBurst {
		c.red.ID = croft.JobID(fmt.Sprintf("%016x", n))
		if err := c.intake.Cancel(shortContext(t), c.red); !errors.Is(err, ErrNoJob) {
			assert.ErrorIs(t, err, ErrTooManyCancellations)
			refused++
		}
	}
	assert.Assert(t, refused > 0)
	assert.Equal(t, len(c.table.rows), tombstoneBurst-refused)
	for key := range c.table.rows {
		assert.Assert(t, strings.HasPrefix(key, jobs.StateTable+"/"))
	}
}
