package agent

import (
	"context"
	"errors"
	"strings"
	"sync"

	"golang.org/x/sync/errgroup"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
)

// standbyInterval is how often an entry checks whether it stands by for the leadership.
const standbyInterval = 500 * croft.Millis(1)

// runStandby follows the jobs while this entry is likely to be the next leader: a new leader that knows them neither has
// to read them all nor depends on parts of the store that do not answer.
func (a *Agent) runStandby(ctx context.Context) error {
	for a.Clock.Sleep(ctx, standbyInterval) == nil {
		a.Election.SetReady(a.Ready() && a.standby.isComplete())
		if a.Election.StandsBy() {
			a.standby.start(ctx, a)
		} else if a.Election.Leadership() == nil {
			a.standby.take()
		}
	}
	return ctx.Err()
}

// standby follows the tables of jobs and of their states.
type standby struct {
	mu sync.Mutex
	// stop ends the feeds of copies; both are nil while the entry does not stand by.
	stop   context.CancelFunc
	copies *jobCopies
}

// jobCopies are copies of the tables that contain the jobs.
type jobCopies struct{ jobs, states tableCopy }

// start begins to follow the tables, unless that has begun.
func (s *standby) start(ctx context.Context, a *Agent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.copies != nil {
		return
	}
	ctx, s.stop = context.WithCancel(ctx)
	s.copies = &jobCopies{}
	go a.followCopy(ctx, jobs.JobTable, &s.copies.jobs)
	go a.followCopy(ctx, jobs.StateTable, &s.copies.states)
}

// isComplete reports whether the copies have everything that a new leader needs.
func (s *standby) isComplete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copies != nil && s.copies.jobs.isRead() && s.copies.states.isRead()
}

// take ends the feeds and returns the copies, nil if the entry did not stand by.
func (s *standby) take() *jobCopies {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.copies == nil {
		return nil
	}
	s.stop()
	taken := s.copies
	s.stop, s.copies = nil, nil
	return taken
}

// copyInterval is the pause between feed calls of a copy. With hundreds of changes a second each call returns at once, and
// the platform charges for each; a new leader catches up in one call.
const copyInterval = 500 * croft.Millis(1)

// followCopy keeps a copy of a table up to date until the context ends.
func (a *Agent) followCopy(ctx context.Context, table string, c *tableCopy) {
	a.follow(ctx, "standby "+table, 0, followWait, func(ctx context.Context, after uint64, wait croft.Millis) (uint64, error) {
		got, err := a.readOrFollow(ctx, table, after, wait)
		if err != nil {
			return after, err
		}
		version := c.apply(got, after == 0)
		return version, a.Clock.Sleep(ctx, copyInterval)
	})
}

// tableCopy is a copy of a table without the rows that no leader needs.
type tableCopy struct {
	mu sync.Mutex
	// rows has the rows by their keys without the table; nil until the table has been read.
	rows    map[string]croft.Row
	version uint64
	// taken reports that the rows belong to a new leader and must not change any more.
	taken bool
}

// isRead reports whether the table has been read.
func (c *tableCopy) isRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rows != nil
}

// apply adds changes to the copy, or replaces it if they are the whole table, and returns the version of the copy.
func (c *tableCopy) apply(changes croft.Changes, whole bool) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.taken || (!whole && changes.Version < c.version) {
		return c.version
	}
	if whole {
		c.rows = map[string]croft.Row{}
	}
	for _, row := range changes.Rows {
		if !isNeeded(row) {
			delete(c.rows, copyKey(row.Key))
			continue
		}
		c.rows[copyKey(row.Key)] = row
	}
	for _, key := range changes.Gone {
		delete(c.rows, copyKey(key))
	}
	c.version = changes.Version
	return c.version
}

// isNeeded reports whether a new leader needs a row: all but the states of jobs that have ended, of which there are far more.
func isNeeded(row croft.Row) bool {
	if !strings.HasPrefix(row.Key, jobs.StateTable+"/") {
		return true
	}
	progress, err := jobs.DecodeProgress(row.Value)
	// An unreadable row is kept: the new leader logs it.
	return err != nil || !progress.Status.Final()
}

// copyKey returns a row's key without its table, which is the same for the job and the state of a job.
func copyKey(key string) string {
	_, rest, _ := strings.Cut(key, "/")
	return rest
}

// errNotCopied reports that a copy of a table is not complete.
var errNotCopied = errors.New("agent: the table has not been read")

// catchUp applies the changes of a table up to at least a version and returns the rows and their version. The caller has
// ended the feed of the copy.
func (c *tableCopy) catchUp(ctx context.Context, feed croft.Feed, table string, version uint64) (map[string]croft.Row, uint64, error) {
	c.mu.Lock()
	at, complete := c.version, c.rows != nil
	c.mu.Unlock()
	if !complete {
		return nil, 0, errNotCopied
	}
	for at < version {
		got, err := feed.Follow(ctx, table, at, catchUpWait)
		if err != nil {
			return nil, 0, err
		}
		at = c.apply(got, false)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.taken = true
	return c.rows, c.version, nil
}

// catchUpWait is the wait of a feed call that only asks for changes that are stored already.
const catchUpWait = croft.Millis(1)

// storedJobs are the jobs in the store that a new leader begins with.
type storedJobs struct {
	rows []croft.Row
	// version is that of rows, from which the feed of jobs continues.
	version uint64
	// states has the states of the jobs that have not ended.
	states map[croft.JobID]croft.Row
	// statesVersion is that of states: a job that was stored later may have no state among them.
	statesVersion uint64
}

// catchUp returns the stored jobs as of at least a version.
func (c *jobCopies) catchUp(ctx context.Context, feed croft.Feed, version uint64) (storedJobs, error) {
	stored := storedJobs{}
	var states, rows map[string]croft.Row
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() (err error) {
		rows, stored.version, err = c.jobs.catchUp(ctx, feed, jobs.JobTable, version)
		return err
	})
	group.Go(func() (err error) {
		states, stored.statesVersion, err = c.states.catchUp(ctx, feed, jobs.StateTable, version)
		return err
	})
	if err := group.Wait(); err != nil {
		return stored, err
	}
	stored.states = make(map[croft.JobID]croft.Row, len(rows))
	for key, row := range rows {
		stored.rows = append(stored.rows, row)
		if state, ok := states[key]; ok {
			if _, id, err := jobs.SplitKey(row.Key); err == nil {
				stored.states[id] = state
			}
		}
	}
	return stored, nil
}
