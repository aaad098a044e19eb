package daemon

import (
	"context"
	"errors"

	"waxwing.example/croft"
	"waxwing.example/croft/conf"
	"waxwing.example/croft/peer"
)

// Limits of the workers that carry out effects.
const (
	// maxQueuedEffects is the capacity of each of the two queues, for the platform and for other entries.
	maxQueuedEffects = 4096
	// platformWorkers is the number of concurrent calls to the platform.
	platformWorkers = 8
	// peerWorkers is the number of concurrent calls to other entries.
	peerWorkers = 8
)

// effectRunner carries out effects on worker goroutines and posts their outcomes as events.
type effectRunner struct {
	*components
	platformJobs chan func(context.Context)
	peerJobs     chan func(context.Context)
}

func newEffectRunner(c *components) *effectRunner {
	return &effectRunner{
		components:   c,
		platformJobs: make(chan func(context.Context), maxQueuedEffects),
		peerJobs:     make(chan func(context.Context), maxQueuedEffects),
	}
}

// perform carries out an effect or queues it for a worker; it never blocks, since the control goroutine calls it.
func (r *effectRunner) perform(e croft.Effect) {
	switch ef := e.(type) {
	case croft.Decision:
		r.log.Log(ef)
	case croft.Answer:
		r.commands.deliverAnswer(ef)
	case croft.Commit:
		r.queuePlatformJob(func(ctx context.Context) { r.commit(ctx, ef) }, func() { r.rejectCommit(ef) })
	case croft.ScanRows:
		r.queuePlatformJob(func(ctx context.Context) { r.scan(ctx, ef) }, nil)
	case croft.OrderVM:
		r.queuePlatformJob(func(ctx context.Context) { r.reportOrder(ef.Token, r.platform.OrderVM(ctx, ef)) }, nil)
	case croft.OrderTask:
		r.queuePlatformJob(func(ctx context.Context) { r.reportOrder(ef.Token, r.platform.OrderTask(ctx, ef)) }, nil)
	case croft.FetchConfig:
		r.fetchConfig(ef)
	case croft.ProbePeer:
		r.queuePeerJob(func(ctx context.Context) { r.probe(ctx, ef.Peer) })
	case croft.NotifyPeers:
		r.notifyPeers(ef)
	}
}

// queuePlatformJob queues a call to the platform. If the queue is full, the call is dropped and counted, and onOverflow,
// unless it is nil, runs on a goroutine of its own.
func (r *effectRunner) queuePlatformJob(job func(context.Context), onOverflow func()) {
	select {
	case r.platformJobs <- job:
	default:
		r.metrics.droppedEffects.Add(1)
		if onOverflow != nil {
			go onOverflow()
		}
	}
}

// queuePeerJob queues a call to another entry; if the queue is full, the call is dropped and counted.
func (r *effectRunner) queuePeerJob(job func(context.Context)) {
	select {
	case r.peerJobs <- job:
	default:
		r.metrics.droppedEffects.Add(1)
	}
}

// runWorker executes jobs one by one until the context ends.
func runWorker(ctx context.Context, jobs <-chan func(context.Context)) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case j := <-jobs:
			j(ctx)
		}
	}
}

// commitTimeout bounds a commit, including the time that the table takes to resolve an unknown outcome.
const commitTimeout = 4 * croft.Second

// commit runs a transaction on the table and posts its outcome.
func (r *effectRunner) commit(ctx context.Context, c croft.Commit) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout.Duration())
	defer cancel()
	version, err := r.table.Commit(ctx, c.Ops)
	result := croft.CommitEnded{At: r.eventTime(), Token: c.Token, Outcome: croft.CommitDone, Version: version}
	var conflict *croft.ConflictError
	var unavailable *croft.UnavailableError
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		result.Outcome = croft.CommitConflict
		result.Rows = conflict.Rows
	case errors.As(err, &unavailable):
		result.Outcome = croft.CommitUnavailable
	default:
		result.Outcome = croft.CommitUnknown
	}
	r.loop.deliver(result)
}

// rejectCommit posts CommitUnavailable for a commit that was dropped because the queue was full, and so was never sent.
func (r *effectRunner) rejectCommit(c croft.Commit) {
	r.loop.deliver(croft.CommitEnded{At: r.eventTime(), Token: c.Token, Outcome: croft.CommitUnavailable})
}

// scanPageRows is the number of rows requested by one read of the table; a page with fewer is the last.
const scanPageRows = 1000

// scan reads the rows that the effect requests, page by page, and posts them; after an error it posts nothing.
func (r *effectRunner) scan(ctx context.Context, s croft.ScanRows) {
	var rows []croft.Row
	after := ""
	for {
		page, err := r.table.Scan(ctx, croft.Range{Prefix: s.Prefix, After: after, Since: s.Since, Limit: scanPageRows})
		if err != nil {
			r.logPlatformError(err)
			return
		}
		rows = append(rows, page...)
		if len(page) < scanPageRows {
			break
		}
		after = page[len(page)-1].Key
	}
	r.loop.deliver(croft.RowsRead{At: r.eventTime(), Prefix: s.Prefix, Rows: rows, Whole: s.Since == 0})
}

// reportOrder posts the outcome of an order to a VM or a worker.
func (r *effectRunner) reportOrder(token string, err error) {
	failure := ""
	if err != nil {
		failure = err.Error()
	}
	r.loop.deliver(croft.OrderEnded{At: r.eventTime(), Token: token, Failed: failure})
}

// fetchConfig queues a read of the configuration from a peer, or from the platform if the effect names none.
func (r *effectRunner) fetchConfig(e croft.FetchConfig) {
	if e.Address != "" {
		r.queuePeerJob(func(ctx context.Context) { r.fetchFromPeer(ctx, e) })
		return
	}
	r.queuePlatformJob(r.fetchFromPlatform, nil)
}

// policyLastRead is the value of Policies.Config that selects the baseline, which uses the last configuration read,
// however old.
const policyLastRead = "LastRead"

// readConfig reads the configuration from the platform and reports whether the platform confirmed it as the newest; the
// baseline assumes so without a confirmation.
func (r *effectRunner) readConfig(ctx context.Context) (croft.Config, bool, error) {
	if r.settings.Policies.Config == policyLastRead {
		config, err := conf.FetchLast(ctx, r.table, r.platform)
		return config, true, err
	}
	return conf.Fetch(ctx, r.table, r.platform, r.loop.View().Config)
}

// fetchFromPlatform reads the configuration from the platform and posts it.
func (r *effectRunner) fetchFromPlatform(ctx context.Context) {
	config, fresh, err := r.readConfig(ctx)
	if err != nil {
		r.logPlatformError(err)
		return
	}
	r.loop.deliver(croft.ConfigReceived{At: r.eventTime(), Config: config, Fresh: fresh})
}

// fetchFromPeer asks a peer for the changes since the version known here and posts the result. If they do not apply to
// the configuration known here, it asks for the whole configuration.
func (r *effectRunner) fetchFromPeer(ctx context.Context, e croft.FetchConfig) {
	known := r.loop.View().Config
	config, applicable := r.updateFromPeer(ctx, e.Address, known)
	if !applicable {
		config, applicable = r.updateFromPeer(ctx, e.Address, croft.Config{})
	}
	if applicable && config.Version > known.Version {
		r.loop.deliver(croft.ConfigReceived{At: r.eventTime(), Config: config})
	}
}

// updateFromPeer applies a peer's newer version, if it has one, to the configuration known here, and reports whether
// the peer's update applies to it. A failed call counts as no newer version.
func (r *effectRunner) updateFromPeer(ctx context.Context, address string, known croft.Config) (croft.Config, bool) {
	// Without a timeout, a peer that hangs would block a worker.
	ctx, cancel := context.WithTimeout(ctx, r.settings.Timing.PlatformMs.Duration())
	defer cancel()
	var response peer.ConfigAnswer
	err := r.client.Call(ctx, address, peer.MethodConfig, peer.ConfigQuestion{Above: known.Version}, &response)
	if err != nil || !response.Newer {
		return known, true
	}
	return response.Update.Apply(known)
}
