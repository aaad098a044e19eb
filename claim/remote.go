package claim

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"waxwing.example/croft"
)

// Batch is a set of claims and releases that an entry sends to a shard's owner for commit.
type Batch struct {
	Shard    int
	Claims   []Record
	Releases []Record
}

// Result is the owner's answer for one claim; the zero value means that the outcome is not known.
type Result struct {
	Granted bool
	// Holder is the other attempt that holds the claim, empty for none.
	Holder string
}

// BatchResult holds one result for each claim of a batch, in the same order.
type BatchResult struct{ Results []Result }

// Remote sends batches of claims to other entries.
type Remote interface {
	// ClaimBatch asks a peer to commit the claims; after an error they may or may not be committed.
	ClaimBatch(ctx context.Context, peer croft.Peer, batch Batch) (BatchResult, error)
}

// ownerOf returns the owner of a shard by rendezvous hashing, and reports whether that is another entry.
func (c *Claimer) ownerOf(shard int) (croft.Peer, bool) {
	view := c.options.Viewer.View()
	best := view.Self
	highest := rendezvousWeight(best.ID, shard)
	for _, p := range view.Entries {
		if p.Stopping || p.ID == view.Self.ID {
			continue
		}
		if weight := rendezvousWeight(p.ID, shard); weight > highest {
			best, highest = p, weight
		}
	}
	return best, best.ID != view.Self.ID
}

// rendezvousWeight returns the weight of an entry for a shard; the entry with the highest weight owns the shard.
func rendezvousWeight(id croft.EntryID, shard int) uint64 {
	return xxhash.Sum64String(shardPrefix(shard) + string(id))
}

// ServeBatch commits claims for another entry and waits for their outcomes until the context is done; the result of a
// claim without an outcome is zero.
func (c *Claimer) ServeBatch(ctx context.Context, batch Batch) BatchResult {
	result := BatchResult{Results: make([]Result, len(batch.Claims))}
	if !batch.valid(len(c.shards)) || c.circuitOpen.Load() {
		return result
	}
	s := c.shards[batch.Shard]
	for _, r := range batch.Releases {
		s.writer.enqueueRelease(r)
	}
	queued := make([]*pendingClaim, 0, len(batch.Claims))
	for _, r := range batch.Claims {
		pending := newPendingClaim(r)
		if !s.writer.enqueue(pending) {
			pending.resolve(outcome{})
		}
		queued = append(queued, pending)
	}
	s.wake()
	for i, pending := range queued {
		select {
		case o := <-pending.result:
			result.Results[i] = Result{Granted: o.granted, Holder: o.holder}
			c.counters.served.Add(1)
		case <-ctx.Done():
			pending.abandoned.Store(true)
		}
	}
	return result
}

// valid reports whether a batch from another entry has a known shard and respects the limits on the number of records
// and their lengths.
func (b Batch) valid(shards int) bool {
	if b.Shard < 0 || b.Shard >= shards || len(b.Claims) > maxBatchRecords || len(b.Releases) > maxBatchRecords {
		return false
	}
	return validRecords(b.Claims) && validRecords(b.Releases)
}

func validRecords(records []Record) bool {
	for _, r := range records {
		if len(r.Hash) != hashLength || r.Attempt == "" || len(r.Attempt) > maxAttemptLength {
			return false
		}
	}
	return true
}

// forwardOutbox sends the claims and releases in the outbox to the shard's owner, and queues those that it does not
// resolve for commit by this entry.
func (s *shard) forwardOutbox(ctx context.Context) {
	claims, releases := s.takeOutbox()
	if len(claims) == 0 && len(releases) == 0 {
		return
	}
	if peer, other := s.claimer.ownerOf(s.writer.shard); other {
		claims, releases = s.askOwner(ctx, peer, claims, releases)
	}
	for _, r := range releases {
		s.writer.enqueueRelease(r)
	}
	for _, pending := range claims {
		if !s.writer.enqueue(pending) {
			pending.resolve(outcome{reason: "too many claims wait"})
		}
	}
	s.wake()
}

// askOwner sends claims and releases to the owner, and returns those that it did not resolve.
func (s *shard) askOwner(ctx context.Context, peer croft.Peer, claims []*pendingClaim, releases []Record) ([]*pendingClaim, []Record) {
	batch := Batch{Shard: s.writer.shard, Releases: releases}
	for _, pending := range claims {
		pending.mayBeLogged.Store(true)
		batch.Claims = append(batch.Claims, pending.record)
	}
	ctx, cancel := context.WithTimeout(ctx, s.claimer.options.RemoteTimeout.Duration())
	defer cancel()
	result, err := s.claimer.options.Remote.ClaimBatch(ctx, peer, batch)
	if err != nil || len(result.Results) != len(claims) {
		return claims, releases
	}
	var unresolved []*pendingClaim
	for i, r := range result.Results {
		if !r.Granted && r.Holder == "" {
			unresolved = append(unresolved, claims[i])
			continue
		}
		claims[i].resolve(outcome{granted: r.Granted, holder: r.Holder})
	}
	return unresolved, nil
}

// takeOutbox removes at most one batch of claims and releases from the outbox, and signals if any remain.
func (s *shard) takeOutbox() ([]*pendingClaim, []Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	claimed := min(len(s.outboxClaims), maxBatchRecords)
	released := min(len(s.outboxReleases), maxBatchRecords)
	claims := s.outboxClaims[:claimed:claimed]
	releases := s.outboxReleases[:released:released]
	s.outboxClaims = s.outboxClaims[claimed:]
	s.outboxReleases = s.outboxReleases[released:]
	if len(s.outboxClaims) > 0 || len(s.outboxReleases) > 0 {
		notify(s.outboxSignal)
	}
	return claims, releases
}
