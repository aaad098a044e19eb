package daemon

import (
	"context"
	"math/rand/v2"

	"waxwing.example/croft"
	"waxwing.example/croft/peer"
)

// Spans between reads of the workers' reports, in milliseconds.
const (
	// reportsEvery is the least span.
	reportsEvery = 2 * croft.Second
	// reportSpan is added for each VM that is asked for, which bounds the bytes a second.
	reportSpan = 160 * croft.Millis(1)
)

// failuresToCut is how many polls in a row must fail before the platform counts as unreachable.
const failuresToCut = 2

// tick lets time pass in the control state.
func (p *parts) tick(ctx context.Context) error {
	for {
		if err := p.clock.Sleep(ctx, p.settings.Timing.TickMs); err != nil {
			return err
		}
		p.loop.Post(croft.Tick{At: p.at(), Seed: rand.Uint64()})
	}
}

// pollVMs reads the platform's VM list and tells whether the platform answers.
func (p *parts) pollVMs(ctx context.Context) error {
	since := uint64(0)
	failures := 0
	for {
		delta, err := p.platform.ListVMs(ctx, since)
		if err == nil {
			failures = 0
			since = delta.Version
			p.loop.deliver(croft.PlatformReachability{At: p.at(), Reachable: true})
			p.loop.deliver(croft.VMsListed{At: p.at(), Delta: delta})
		} else {
			failures++
			p.pollFailed(ctx, failures)
		}
		if err := p.clock.Sleep(ctx, p.settings.Timing.PollMs); err != nil {
			return err
		}
	}
}

func (p *parts) pollFailed(ctx context.Context, failures int) {
	if failures < failuresToCut {
		return
	}
	p.loop.deliver(croft.PlatformReachability{At: p.at(), Reachable: false})
	if len(p.loop.State().VMs()) == 0 {
		p.askFleet(ctx)
	}
}

// askFleet takes the fleet from another entry, for one that started while the platform is away.
func (p *parts) askFleet(ctx context.Context) {
	v := p.loop.View()
	for _, e := range v.Entries {
		if e.ID == v.Self.ID {
			continue
		}
		var answer peer.FleetAnswer
		asked, cancel := context.WithTimeout(ctx, p.settings.Timing.PlatformMs.Duration())
		err := p.client.Call(asked, e.Address, peer.MethodFleet, peer.FleetQuestion{}, &answer)
		cancel()
		if err != nil || len(answer.VMs) == 0 {
			continue
		}
		p.loop.deliver(croft.VMsListed{At: p.at(), Delta: croft.VMDelta{Whole: true, Changed: answer.VMs}})
		p.loop.deliver(croft.RowsRead{At: p.at(), Prefix: croft.MemberPrefix, Rows: answer.Rows})
		return
	}
}

// pollReports reads the lagging reports of the VMs that run jobs which this entry plans for.
func (p *parts) pollReports(ctx context.Context) error {
	since := croft.Millis(0)
	for {
		vms := p.loop.State().Fleet().JobVMs(p.self.ID, p.clock.Now())
		if len(vms) > 0 {
			since = p.readReports(ctx, since, vms)
		}
		if err := p.clock.Sleep(ctx, max(reportsEvery, reportSpan*croft.Millis(len(vms)))); err != nil {
			return err
		}
	}
}

// readReports returns the instant of the newest report read.
func (p *parts) readReports(ctx context.Context, since croft.Millis, vms []croft.VMID) croft.Millis {
	reports, err := p.platform.Reports(ctx, since, vms)
	if err != nil || len(reports) == 0 {
		return since
	}
	p.loop.deliver(croft.WorkersReported{At: p.at(), Reports: reports})
	for _, r := range reports {
		since = max(since, r.Taken)
	}
	return since
}
