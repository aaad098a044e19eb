package agent

import (
	"cmp"
	"context"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"waxwing.example/croft"
	"waxwing.example/croft/clock"
	"waxwing.example/croft/jobs"
	"waxwing.example/croft/leader"
	"waxwing.example/croft/logs"
	"waxwing.example/croft/sched"
	"waxwing.example/croft/setup"
	"waxwing.example/croft/stats"
)

// fakeFeed is a store whose feeds answer at once; each write is a transaction of its own.
type fakeFeed struct {
	mu      sync.Mutex
	version uint64
	rows    map[string]croft.Row
	// gone has the versions at which rows were deleted.
	gone map[string]uint64
	// partSilent reports that a part of the store does not answer, so that no table can be read as a whole.
	partSilent bool
	// historyGone reports that the feeds have no changes any more.
	historyGone bool
	// reads counts the reads of whole tables, rowsRead the rows that they returned, and follows the calls of feeds.
	reads, rowsRead, follows int
}

func newFakeFeed() *fakeFeed {
	return &fakeFeed{version: 1, rows: map[string]croft.Row{}, gone: map[string]uint64{}}
}

// put writes rows in one transaction.
func (f *fakeFeed) put(values map[string][]byte) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	for key, value := range values {
		f.rows[key] = croft.Row{Key: key, Version: f.version, Value: value}
		delete(f.gone, key)
	}
	return f.version
}

// set sets a fault of the feed.
func (f *fakeFeed) set(fault *bool, value bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*fault = value
}

func (f *fakeFeed) readCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads
}

func (f *fakeFeed) Follow(ctx context.Context, table string, after uint64, wait croft.Millis) (croft.Changes, error) {
	if wait > catchUpWait {
		select {
		case <-ctx.Done():
		case <-time.After(2 * time.Millisecond):
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.follows++
	if f.historyGone {
		return croft.Changes{}, croft.ErrHistoryGone
	}
	return f.changes(table, after), ctx.Err()
}

func (f *fakeFeed) ReadTable(_ context.Context, table string, keep func(croft.Row) bool) (croft.Changes, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if f.partSilent {
		return croft.Changes{}, &croft.LostAnswerError{Reason: "a part does not answer"}
	}
	changes := f.changes(table, 0)
	if keep != nil {
		changes.Rows = slices.DeleteFunc(changes.Rows, func(row croft.Row) bool { return !keep(row) })
	}
	f.rowsRead += len(changes.Rows)
	return changes, nil
}

func (f *fakeFeed) changes(table string, after uint64) croft.Changes {
	out := croft.Changes{Version: f.version}
	for key, row := range f.rows {
		if strings.HasPrefix(key, table+"/") && row.Version > after {
			out.Rows = append(out.Rows, row)
		}
	}
	for key, at := range f.gone {
		if strings.HasPrefix(key, table+"/") && at > after {
			out.Gone = append(out.Gone, key)
		}
	}
	return out
}

const testPart = "q.0"

// putJob stores a job with a status.
func (f *fakeFeed) putJob(id croft.JobID, status jobs.Status) uint64 {
	return f.put(map[string][]byte{
		jobs.Key(jobs.JobTable, testPart, id):   jobs.Encode(jobs.Record{Queue: "q", Pool: "p"}),
		jobs.Key(jobs.StateTable, testPart, id): jobs.Encode(jobs.Progress{Status: status}),
	})
}

// putStatus stores the status of a job.
func (f *fakeFeed) putStatus(id croft.JobID, status jobs.Status) uint64 {
	return f.put(map[string][]byte{jobs.Key(jobs.StateTable, testPart, id): jobs.Encode(jobs.Progress{Status: status})})
}

// newTestAgent returns an agent on a feed, without its goroutines, and a context that ends with the test.
func newTestAgent(t *testing.T, feed *fakeFeed) (*Agent, context.Context) {
	t.Helper()
	systemClock := clock.NewSystem()
	log := logs.New(io.Discard, setup.Log{Level: "info", Format: "json", Queue: 64}, systemClock)
	t.Cleanup(log.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return New(Options{
		Self: "one", Election: leader.New("one", 0, 3*croft.Second, nil, systemClock), Feed: feed, Clock: systemClock, Log: log, Stats: stats.New(),
	}), ctx
}

// standBy has an agent stand by until its copies contain everything up to a version.
func standBy(ctx context.Context, t *testing.T, a *Agent, version uint64) {
	t.Helper()
	a.standby.start(ctx, a)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, c := range []*tableCopy{&a.standby.copies.jobs, &a.standby.copies.states} {
			c.mu.Lock()
			at := c.version
			c.mu.Unlock()
			if at < version {
				return poll.Continue("copy at version %d, want %d", at, version)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
}

// firstJobs has the agent lead and returns the IDs of the jobs that its planner begins with, sorted.
func firstJobs(ctx context.Context, t *testing.T, a *Agent, fence uint64) []croft.JobID {
	t.Helper()
	go a.followJobs(ctx, fence)
	for {
		select {
		case e := <-a.events:
			read, ok := e.(sched.JobsRead)
			if !ok || !read.Whole {
				continue
			}
			slices.SortFunc(read.Jobs, func(x, y sched.JobRow) int { return cmp.Compare(x.ID, y.ID) })
			var ids []croft.JobID
			for _, row := range read.Jobs {
				ids = append(ids, row.ID)
			}
			return ids
		case <-time.After(5 * time.Second):
			t.Fatal("the planner got no stored jobs")
		}
	}
}

// Guards against a takeover that waits while a part of the store is silent: a new leader read all tables first, and for
// 3.4 s nobody placed tasks, of any queue.
func TestStandbyTakesOverWhileAPartOfTheStoreIsSilent(t *testing.T) {
	feed := newFakeFeed()
	feed.putJob("waiting", jobs.Pending)
	version := feed.putJob("ended", jobs.Done)
	a, ctx := newTestAgent(t, feed)
	standBy(ctx, t, a, version)
	feed.set(&feed.partSilent, true)
	feed.putJob("new", jobs.Pending)
	fence := feed.putStatus("waiting", jobs.Running)
	assert.DeepEqual(t, firstJobs(ctx, t, a, fence), []croft.JobID{"new", "waiting"})
}

// Guards against a leader that begins with an old copy: what was stored before its term is part of it.
func TestStandbyCatchesUpToItsTerm(t *testing.T) {
	feed := newFakeFeed()
	version := feed.putJob("a", jobs.Pending)
	a, ctx := newTestAgent(t, feed)
	standBy(ctx, t, a, version)
	// The feeds end before the last changes.
	a.standby.mu.Lock()
	a.standby.stop()
	a.standby.mu.Unlock()
	feed.putJob("b", jobs.Pending)
	fence := feed.putStatus("a", jobs.Canceled)
	assert.DeepEqual(t, firstJobs(ctx, t, a, fence), []croft.JobID{"b"})
}

func TestStandbyReadsAllJobsOnceTheHistoryIsGone(t *testing.T) {
	feed := newFakeFeed()
	version := feed.putJob("a", jobs.Pending)
	a, ctx := newTestAgent(t, feed)
	standBy(ctx, t, a, version)
	reads := feed.readCount()
	a.standby.mu.Lock()
	a.standby.stop()
	a.standby.mu.Unlock()
	feed.set(&feed.historyGone, true)
	fence := feed.putJob("b", jobs.Pending)
	assert.DeepEqual(t, firstJobs(ctx, t, a, fence), []croft.JobID{"a", "b"})
	assert.Assert(t, feed.readCount() > reads)
}

// Guards against entries that exceed their memory again and again: a new leader, or one that stands by, held the states of all jobs that
// had ever ended.
func TestStatesOfEndedJobsAreNotReadIntoMemory(t *testing.T) {
	for _, standsBy := range []bool{false, true} {
		feed := newFakeFeed()
		const ended = 1000
		for i := range ended {
			feed.putStatus(croft.JobID(strconv.Itoa(i)), jobs.Done)
		}
		feed.putJob("running", jobs.Running)
		version := feed.putJob("waiting", jobs.Pending)
		a, ctx := newTestAgent(t, feed)
		if standsBy {
			standBy(ctx, t, a, version)
		}
		assert.DeepEqual(t, firstJobs(ctx, t, a, version), []croft.JobID{"running", "waiting"})
		feed.mu.Lock()
		// A row of each of the two tables for each of the two jobs.
		assert.Equal(t, feed.rowsRead, 4)
		feed.mu.Unlock()
	}
}

// Guards against a job that stays unknown: it was stored between the reads of the two tables, and its state was missing.
func TestJobStoredAfterTheStatesWereReadIsNew(t *testing.T) {
	a, _ := newTestAgent(t, newFakeFeed())
	row := croft.Row{Key: jobs.Key(jobs.JobTable, testPart, "a"), Version: 7, Value: jobs.Encode(jobs.Record{Queue: "q"})}
	got := a.joinJobStates([]croft.Row{row}, &storedJobs{statesVersion: 6})
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Version, uint64(7))
	assert.Equal(t, len(a.joinJobStates([]croft.Row{row}, &storedJobs{statesVersion: 7})), 0)
}

// The load of a turn: a job each millisecond. Guards against a standby whose feed calls return at each change: the calls of
// the standbys were as many as those of all other work together.
func TestStandbyDoesNotCallForEachChange(t *testing.T) {
	feed := newFakeFeed()
	version := feed.putJob("a", jobs.Pending)
	a, ctx := newTestAgent(t, feed)
	standBy(ctx, t, a, version)
	for i := range 200 {
		feed.putJob(croft.JobID(strconv.Itoa(i)), jobs.Pending)
		time.Sleep(time.Millisecond)
	}
	feed.mu.Lock()
	defer feed.mu.Unlock()
	assert.Assert(t, feed.follows <= 4, "%d calls", feed.follows)
}

// Guards against an entry that refuses callers after the end of an outage: its feed call still waited for changes, and for
// the time after which a silent call is given up.
func TestFeedAsksAtOnceWhileItFails(t *testing.T) {
	a, ctx := newTestAgent(t, newFakeFeed())
	waits, calls := make(chan croft.Millis), 0
	go a.follow(ctx, "test", 1, followWait, func(_ context.Context, after uint64, wait croft.Millis) (uint64, error) {
		calls++
		select {
		case waits <- wait:
		case <-ctx.Done():
		}
		if calls == 1 {
			return after, &croft.LostAnswerError{Reason: "test"}
		}
		return after, nil
	})
	assert.Equal(t, <-waits, followWait)
	assert.Equal(t, <-waits, probeWait)
	assert.Equal(t, <-waits, followWait)
}
