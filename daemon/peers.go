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

// report is what a probe or its answer says of this entry, with the entries that the peer asked for.
func (p *parts) report(to croft.Peer, asked []croft.EntryID) peer.Report {
	s := p.loop.State()
	c := s.Message(p.clock.Now(), to, asked, rand.Uint64())
	return peer.Report{From: s.Self(), Known: c.Known, Ask: c.Ask, Beats: c.Beats, Count: c.Count, Wanted: c.Wanted}
}

func (p *parts) heard(r peer.Report) {
	p.loop.Post(croft.PeerMessageReceived{
		At:     p.at(),
		Peer:   r.From,
		Known:  r.Known,
		Beats:  r.Beats,
		Count:  r.Count,
		Wanted: r.Wanted,
		News:   r.News,
	})
}

func (f *effects) probe(ctx context.Context, to croft.Peer) {
	ctx, cancel := context.WithTimeout(ctx, f.settings.Timing.ProbeTimeoutMs.Duration())
	defer cancel()
	var answer peer.Report
	if err := f.client.Call(ctx, to.Address, peer.MethodProbe, f.report(to, nil), &answer); err != nil {
		f.loop.Post(croft.PeerProbeFailed{At: f.at(), ID: to.ID, Refused: errors.Is(err, syscall.ECONNREFUSED)})
		return
	}
	f.heard(answer)
}

// tell sends news to each other entry by a message of its own.
func (f *effects) tell(e croft.NotifyPeers) {
	v := f.loop.View()
	message := peer.Report{From: v.Self, News: e.News}
	for _, p := range v.Entries {
		if p.ID == v.Self.ID {
			continue
		}
		f.toPeers(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, f.settings.Timing.ProbeTimeoutMs.Duration())
			defer cancel()
			_ = f.client.Notify(ctx, p.Address, peer.MethodTell, message)
		})
	}
}

// handlers answers the messages of other entries.
func (p *parts) handlers() map[string]peer.Handler {
	return map[string]peer.Handler{
		peer.MethodProbe:  p.handleProbe,
		peer.MethodTell:   p.handleTell,
		peer.MethodConfig: p.handleConfig,
		peer.MethodFleet:  p.handleFleet,
		peer.MethodClaim:  p.handleClaim,
	}
}

func (p *parts) handleProbe(_ context.Context, params json.RawMessage) (any, error) {
	var r peer.Report
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, err
	}
	p.heard(r)
	return p.report(r.From, r.Ask), nil
}

func (p *parts) handleTell(_ context.Context, params json.RawMessage) (any, error) {
	var r peer.Report
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, err
	}
	p.heard(r)
	return nil, nil
}

func (p *parts) handleConfig(_ context.Context, params json.RawMessage) (any, error) {
	var q peer.ConfigQuestion
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, err
	}
	update, newer := p.loop.State().ConfigUpdate(q.Above)
	return peer.ConfigAnswer{Newer: newer, Update: update}, nil
}

// handleFleet gives a new entry that cannot reach the platform what this one knows of the fleet.
func (p *parts) handleFleet(context.Context, json.RawMessage) (any, error) {
	s := p.loop.State()
	return peer.FleetAnswer{VMs: s.VMs(), Rows: s.MemberRows()}, nil
}
