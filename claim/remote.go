package claim

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"waxwing.example/croft"
)

// Batch is a set of claims and releases that an entry asks a shard's owner to commit.
type Batch struct {
	Shard    int
	Claims   []Record
	Releases []Record
}

// Result is what became of one claim at the owner.
type Result struct {
	Granted bool
	// Holder is the other attempt that has the claim, empty for none.
	Holder string
}

// BatchResult has one result for each claim of the batch, in order.
type BatchResult struct{ Results []Result }

// Remote carries batches of claims to other entries.
type Remote interface {
	// ClaimBatch asks a peer to commit the claims; after an error they may or may not be taken.
	ClaimBatch(ctx context.Context, peer croft.Peer, claims Batch) (BatchResult, error)
}

// owner returns the entry that should commit for a shard by rendezvous hashing, and whether it is another one.
func (c *Claimer) owner(shard int) (croft.Peer, bool) {
	view := c.options.Viewer.View()
	best := view.Self
	highest := weight(best.ID, shard)
	for _, p := range view.Entries {
		if p.Stopping || p.ID == view.Self.ID {
			continue
		}
		if found := weight(p.ID, shard); found > highest {
			best, highest = p, found
		}
	}
	return best, best.ID != view.Self.ID
}

func weight(id croft.EntryID, shard int) uint64 {
	return xxhash.Sum64String(shardPrefix(shard) + string(id))
}

// ServeBatch commits claims for another entry and waits for their verdicts or the context's end.
func (c *Claimer) ServeBatch(ctx context.Context, claims Batch) BatchResult {
	result := BatchResult{Results: make([]Result, len(claims.Claims))}
	if !claims.valid(len(c.shards)) || c.open.Load() {
		return result
	}
	s := c.shards[claims.Shard]
	for _, r := range claims.Releases {
		s.writer.release(r)
	}
	queued := make([]*wanted, 0, len(claims.Claims))
	for _, r := range claims.Claims {
		one := newWanted(r)
		if !s.writer.enqueue(one) {
			one.end(verdict{})
		}
		queued = append(queued, one)
	}
	s.wake()
	for i, one := range queued {
		select {
		case v := <-one.ended:
			result.Results[i] = Result{Granted: v.granted, Holder: v.holder}
			c.counters.served.Add(1)
		case <-ctx.Done():
			one.gone.Store(true)
		}
	}
	return result
}

// valid bounds what another entry sends.
func (b Batch) valid(shards int) bool {
	if b.Shard < 0 || b.Shard >= shards || len(b.Claims) > maxBatch || len(b.Releases) > maxBatch {
		return false
	}
	return validRecords(b.Claims) && validRecords(b.Releases)
}

func validRecords(records []Record) bool {
	for _, r := range records {
		if len(r.Hash) != hashLength || r.Attempt == "" || len(r.Attempt) > maxAttempt {
			return false
		}
	}
	return true
}

// forward asks the owner for what waits in the outbox and commits here what it does not settle.
func (s *shard) forward(ctx context.Context) {
	claims, releases := s.takeOutbox()
	if len(claims) == 0 && len(releases) == 0 {
		return
	}
	if peer, other := s.claimer.owner(s.writer.shard); other {
		claims, releases = s.ask(ctx, peer, claims, releases)
	}
	for _, r := range releases {
		s.writer.release(r)
	}
	for _, one := range claims {
		if !s.writer.enqueue(one) {
			one.end(verdict{reason: "too many claims wait"})
		}
	}
	s.wake()
}

// ask returns the claims and releases that the peer did not settle.
func (s *shard) ask(ctx context.Context, peer croft.Peer, claims []*wanted, releases []Record) ([]*wanted, []Record) {
	asked := Batch{Shard: s.writer.shard, Releases: releases}
	for _, one := range claims {
		one.sent.Store(true)
		asked.Claims = append(asked.Claims, one.record)
	}
	ctx, cancel := context.WithTimeout(ctx, s.claimer.options.RemoteTimeout.Duration())
	defer cancel()
	result, err := s.claimer.options.Remote.ClaimBatch(ctx, peer, asked)
	if err != nil || len(result.Results) != len(claims) {
		return claims, releases
	}
	var open []*wanted
	for i, r := range result.Results {
		if !r.Granted && r.Holder == "" {
			open = append(open, claims[i])
			continue
		}
		claims[i].end(verdict{granted: r.Granted, holder: r.Holder})
	}
	return open, nil
}

func (s *shard) takeOutbox() ([]*wanted, []Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	claimed := min(len(s.outbox), maxBatch)
	released := min(len(s.returned), maxBatch)
	claims := s.outbox[:claimed:claimed]
	releases := s.returned[:released:released]
	s.outbox = s.outbox[claimed:]
	s.returned = s.returned[released:]
	if len(s.outbox) > 0 || len(s.returned) > 0 {
		signal(s.posted)
	}
	return claims, releases
}
