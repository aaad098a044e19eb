package daemon

import (
	"context"
	"errors"

	"waxwing.example/croft"
	"waxwing.example/croft/conf"
	"waxwing.example/croft/peer"
)

// Bounds of the workers that carry out effects.
const (
	// effectQueue is the most effects of one kind that wait for a worker.
	effectQueue = 4096
	// platformWorkers is the most calls to the platform at once.
	platformWorkers = 8
	// peerWorkers is the most calls to other entries at once.
	peerWorkers = 8
)

// effects carries out effects away from the control goroutine and posts their outcomes.
type effects struct {
	*parts
	platformJobs chan func(context.Context)
	peerJobs     chan func(context.Context)
}

func newEffects(p *parts) *effects {
	return &effects{
		parts:        p,
		platformJobs: make(chan func(context.Context), effectQueue),
		peerJobs:     make(chan func(context.Context), effectQueue),
	}
}

// perform hands an effect to its worker; it never waits.
func (f *effects) perform(e croft.Effect) {
	switch ef := e.(type) {
	case croft.Decision:
		f.log.Log(ef)
	case croft.Answer:
		f.questions.answer(ef)
	case croft.Commit:
		f.toPlatform(func(ctx context.Context) { f.commit(ctx, ef) }, func() { f.commitFailed(ef) })
	case croft.ScanRows:
		f.toPlatform(func(ctx context.Context) { f.scan(ctx, ef) }, nil)
	case croft.OrderVM:
		f.toPlatform(func(ctx context.Context) { f.ordered(ef.Token, f.platform.OrderVM(ctx, ef)) }, nil)
	case croft.OrderTask:
		f.toPlatform(func(ctx context.Context) { f.ordered(ef.Token, f.platform.OrderTask(ctx, ef)) }, nil)
	case croft.FetchConfig:
		f.fetchConfig(ef)
	case croft.ProbePeer:
		f.toPeers(func(ctx context.Context) { f.probe(ctx, ef.Peer) })
	case croft.NotifyPeers:
		f.tell(ef)
	}
}

func (f *effects) toPlatform(job func(context.Context), overflow func()) {
	select {
	case f.platformJobs <- job:
	default:
		f.vars.overflow.Add(1)
		if overflow != nil {
			go overflow()
		}
	}
}

func (f *effects) toPeers(job func(context.Context)) {
	select {
	case f.peerJobs <- job:
	default:
		f.vars.overflow.Add(1)
	}
}

// work runs one worker until the context ends.
func work(ctx context.Context, jobs <-chan func(context.Context)) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case j := <-jobs:
			j(ctx)
		}
	}
}

// commitSpan bounds the time in which a commit's lost answers are settled.
const commitSpan = 4 * croft.Second

func (f *effects) commit(ctx context.Context, c croft.Commit) {
	ctx, cancel := context.WithTimeout(ctx, commitSpan.Duration())
	defer cancel()
	version, err := f.table.Commit(ctx, c.Ops)
	ended := croft.CommitEnded{At: f.at(), Token: c.Token, Outcome: croft.CommitDone, Version: version}
	var conflict *croft.ConflictError
	var unavailable *croft.UnavailableError
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		ended.Outcome = croft.CommitConflict
		ended.Rows = conflict.Rows
	case errors.As(err, &unavailable):
		ended.Outcome = croft.CommitUnavailable
	default:
		ended.Outcome = croft.CommitUnknown
	}
	f.loop.deliver(ended)
}

func (f *effects) commitFailed(c croft.Commit) {
	f.loop.deliver(croft.CommitEnded{At: f.at(), Token: c.Token, Outcome: croft.CommitUnavailable})
}

// scanPage is the most rows of one read of the table.
const scanPage = 1000

func (f *effects) scan(ctx context.Context, s croft.ScanRows) {
	var rows []croft.Row
	after := ""
	for {
		page, err := f.table.Scan(ctx, croft.Range{Prefix: s.Prefix, After: after, Since: s.Since, Limit: scanPage})
		if err != nil {
			f.platformFailed(err)
			return
		}
		rows = append(rows, page...)
		if len(page) < scanPage {
			break
		}
		after = page[len(page)-1].Key
	}
	f.loop.deliver(croft.RowsRead{At: f.at(), Prefix: s.Prefix, Rows: rows, Whole: s.Since == 0})
}

func (f *effects) ordered(token string, err error) {
	failed := ""
	if err != nil {
		failed = err.Error()
	}
	f.loop.deliver(croft.OrderEnded{At: f.at(), Token: token, Failed: failed})
}

func (f *effects) fetchConfig(e croft.FetchConfig) {
	if e.Address != "" {
		f.toPeers(func(ctx context.Context) { f.fetchFromPeer(ctx, e) })
		return
	}
	f.toPlatform(f.fetchFromPlatform, nil)
}

// policyLastRead is the baseline of Policies.Config.
const policyLastRead = "LastRead"

func (f *effects) readConfig(ctx context.Context) (croft.Config, bool, error) {
	if f.settings.Policies.Config == policyLastRead {
		config, err := conf.FetchLast(ctx, f.table, f.platform)
		return config, true, err
	}
	return conf.Fetch(ctx, f.table, f.platform, f.loop.View().Config)
}

func (f *effects) fetchFromPlatform(ctx context.Context) {
	config, fresh, err := f.readConfig(ctx)
	if err != nil {
		f.platformFailed(err)
		return
	}
	f.loop.deliver(croft.ConfigReceived{At: f.at(), Config: config, Fresh: fresh})
}

func (f *effects) fetchFromPeer(ctx context.Context, e croft.FetchConfig) {
	known := f.loop.View().Config
	config, fits := f.updateFromPeer(ctx, e.Address, known)
	if !fits {
		config, fits = f.updateFromPeer(ctx, e.Address, croft.Config{})
	}
	if fits && config.Version > known.Version {
		f.loop.deliver(croft.ConfigReceived{At: f.at(), Config: config})
	}
}

// updateFromPeer returns what a peer has above the configuration known, and whether the peer's change fits it.
func (f *effects) updateFromPeer(ctx context.Context, address string, known croft.Config) (croft.Config, bool) {
	// A frozen peer must not hold a worker.
	ctx, cancel := context.WithTimeout(ctx, f.settings.Timing.PlatformMs.Duration())
	defer cancel()
	var answer peer.ConfigAnswer
	err := f.client.Call(ctx, address, peer.MethodConfig, peer.ConfigQuestion{Above: known.Version}, &answer)
	if err != nil || !answer.Newer {
		return known, true
	}
	return answer.Update.Apply(known)
}
