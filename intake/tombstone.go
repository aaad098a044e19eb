package intake

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
)

// Limits of the tombstones that an entry stores. They bound the rows that callers can make it store for IDs that nobody has submitted:
// the leader removes those of a hundred entries as fast as these may store them.
const (
	tombstonesPerSecond = 2
	tombstoneBurst      = 100
	// organisationDivisor divides the limits for a single organisation, so that it leaves some to the others.
	organisationDivisor = 4
)

// storeTombstone stores that an ID was cancelled while no job with it was stored, in place of a state row: each submission of the job
// requires that there is none. It returns ErrNoJob once that is confirmed.
func (i *Intake) storeTombstone(ctx context.Context, t Target, version uint64, progress jobs.Progress) error {
	if !i.tombstoneLimit.allow(t.Organisation, i.clock.Elapsed()) {
		i.logDecision("Cancel", t.ID, "TooMany", "too many jobs that are not stored are being cancelled")
		return ErrTooManyCancellations
	}
	value := jobs.EncodeProgress(progress.WithCancellationBy(t.Organisation))
	err := i.tombstones.commitTombstone(ctx, t.part(), croft.Op{Kind: croft.OpPut, Key: t.stateKey(), Version: version, Value: value})
	if err != nil {
		return err
	}
	i.logDecision("Cancel", t.ID, "NoJob", "a tombstone has been stored")
	return ErrNoJob
}

// tombstoneLimit limits the rate of tombstones, of all callers and of each organisation; it is safe for concurrent use.
type tombstoneLimit struct {
	all *rate.Limiter

	mu            sync.Mutex
	organisations map[croft.OrganisationID]*rate.Limiter
}

// newTombstoneLimit returns a limit of which nothing is used.
func newTombstoneLimit() *tombstoneLimit {
	return &tombstoneLimit{
		all:           rate.NewLimiter(tombstonesPerSecond, tombstoneBurst),
		organisations: map[croft.OrganisationID]*rate.Limiter{},
	}
}

// allow reports whether an organisation may store a tombstone now, and counts it; callers of public queues belong to none.
func (l *tombstoneLimit) allow(org croft.OrganisationID, elapsed croft.Millis) bool {
	now := time.UnixMilli(int64(elapsed))
	if org == "" {
		return l.all.AllowN(now, 1)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	own, ok := l.organisations[org]
	if !ok {
		own = rate.NewLimiter(rate.Limit(tombstonesPerSecond)/organisationDivisor, tombstoneBurst/organisationDivisor)
		l.organisations[org] = own
	}
	return own.AllowN(now, 1) && l.all.AllowN(now, 1)
}
