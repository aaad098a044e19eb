package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"syscall"

	"waxwing.example/croft"
	"waxwing.example/croft/peer"
)

// report returns the content of a probe or of the response to one: this entry's state, and the details of the entries
// that the peer asked for.
func (c *components) report(to croft.Peer, asked []croft.EntryID) peer.Report {
	s := c.loop.State()
	m := s.Message(c.clock.Now(), to, asked, rand.Uint64())
	return peer.Report{From: s.Self(), Known: m.Known, Ask: m.Ask, Beats: m.Beats, Count: m.Count, Wanted: m.Wanted}
}

// postPeerMessage posts a peer's report as an event; if the event queue is full, the report is dropped.
func (c *components) postPeerMessage(r peer.Report) {
	c.loop.Post(croft.PeerMessageReceived{
		At:     c.eventTime(),
		Peer:   r.From,
		Known:  r.Known,
		Beats:  r.Beats,
		Count:  r.Count,
		Wanted: r.Wanted,
		News:   r.News,
	})
}

// probe calls a peer to check that it is alive and posts its report, or the failure.
func (r *effectRunner) probe(ctx context.Context, to croft.Peer) {
	ctx, cancel := context.WithTimeout(ctx, r.settings.Timing.ProbeTimeoutMs.Duration())
	defer cancel()
	var response peer.Report
	if err := r.client.Call(ctx, to.Address, peer.MethodProbe, r.report(to, nil), &response); err != nil {
		r.loop.Post(croft.PeerProbeFailed{At: r.eventTime(), ID: to.ID, Refused: errors.Is(err, syscall.ECONNREFUSED)})
		return
	}
	r.postPeerMessage(response)
}

// notifyPeers sends notices to every other entry, each in a call of its own, and ignores failures.
func (r *effectRunner) notifyPeers(e croft.NotifyPeers) {
	v := r.loop.View()
	message := peer.Report{From: v.Self, News: e.News}
	for _, p := range v.Entries {
		if p.ID == v.Self.ID {
			continue
		}
		r.queuePeerJob(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, r.settings.Timing.ProbeTimeoutMs.Duration())
			defer cancel()
			_ = r.client.Notify(ctx, p.Address, peer.MethodNotify, message)
		})
	}
}

// handlers returns the handlers of other entries' messages, by method.
func (c *components) handlers() map[string]peer.Handler {
	return map[string]peer.Handler{
		peer.MethodProbe:  c.handleProbe,
		peer.MethodNotify: c.handleNotice,
		peer.MethodConfig: c.handleConfig,
		peer.MethodFleet:  c.handleFleet,
		peer.MethodClaim:  c.handleClaim,
	}
}

// handleProbe posts a peer's report and returns this entry's own.
func (c *components) handleProbe(_ context.Context, params json.RawMessage) (any, error) {
	var r peer.Report
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, err
	}
	c.postPeerMessage(r)
	return c.report(r.From, r.Ask), nil
}

// handleNotice posts a peer's notices; the notification has no response.
func (c *components) handleNotice(_ context.Context, params json.RawMessage) (any, error) {
	var r peer.Report
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, err
	}
	c.postPeerMessage(r)
	return nil, nil
}

// handleConfig returns what changed in the configuration since the version that a peer has.
func (c *components) handleConfig(_ context.Context, params json.RawMessage) (any, error) {
	var q peer.ConfigQuestion
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, err
	}
	update, newer := c.loop.State().ConfigUpdate(q.Above)
	return peer.ConfigAnswer{Newer: newer, Update: update}, nil
}

// handleFleet returns the VM list and member rows known here, for a new entry that cannot reach the platform.
func (c *components) handleFleet(context.Context, json.RawMessage) (any, error) {
	s := c.loop.State()
	return peer.FleetAnswer{VMs: s.VMs(), Rows: s.MemberRows()}, nil
}
