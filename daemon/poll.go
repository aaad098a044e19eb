package daemon

import (
	"context"
	"math/rand/v2"

	"waxwing.example/croft"
	"waxwing.example/croft/peer"
)

// The interval between reads of the workers' reports.
const (
	// minReportsInterval is the shortest interval.
	minReportsInterval = 2 * croft.Second
	// reportsIntervalPerVM is multiplied by the number of VMs whose reports are read; the product is the interval if it
	// is longer than the shortest one. This bounds the bytes read per second.
	reportsIntervalPerVM = 160 * croft.Millis(1)
)

// failuresUntilUnreachable is the number of consecutive failed polls after which the platform counts as unreachable.
const failuresUntilUnreachable = 2

// tick posts an event to the control loop at a fixed interval, so that the reducer can act when time has passed.
func (c *components) tick(ctx context.Context) error {
	for {
		if err := c.clock.Sleep(ctx, c.settings.Timing.TickMs); err != nil {
			return err
		}
		c.loop.Post(croft.Tick{At: c.eventTime(), Seed: rand.Uint64()})
	}
}

// pollVMs reads the changes of the platform's VM list at a fixed interval, and posts them and whether the platform is
// reachable.
func (c *components) pollVMs(ctx context.Context) error {
	since := uint64(0)
	failures := 0
	for {
		delta, err := c.platform.ListVMs(ctx, since)
		if err == nil {
			failures = 0
			since = delta.Version
			c.loop.deliver(croft.PlatformReachability{At: c.eventTime(), Reachable: true})
			c.loop.deliver(croft.VMsListed{At: c.eventTime(), Delta: delta})
		} else {
			failures++
			c.handlePollFailure(ctx, failures)
		}
		if err := c.clock.Sleep(ctx, c.settings.Timing.PollMs); err != nil {
			return err
		}
	}
}

// handlePollFailure posts that the platform is unreachable once failuresUntilUnreachable polls in a row have failed. If
// no VM is known yet, it then asks other entries for the fleet.
func (c *components) handlePollFailure(ctx context.Context, failures int) {
	if failures < failuresUntilUnreachable {
		return
	}
	c.loop.deliver(croft.PlatformReachability{At: c.eventTime(), Reachable: false})
	if len(c.loop.State().VMs()) == 0 {
		c.fetchFleetFromPeer(ctx)
	}
}

// fetchFleetFromPeer posts the VM list and member rows of the first other entry that has any, so that an entry which
// starts while the platform is unreachable can serve.
func (c *components) fetchFleetFromPeer(ctx context.Context) {
	v := c.loop.View()
	for _, e := range v.Entries {
		if e.ID == v.Self.ID {
			continue
		}
		var response peer.FleetAnswer
		callCtx, cancel := context.WithTimeout(ctx, c.settings.Timing.PlatformMs.Duration())
		err := c.client.Call(callCtx, e.Address, peer.MethodFleet, peer.FleetQuestion{}, &response)
		cancel()
		if err != nil || len(response.VMs) == 0 {
			continue
		}
		c.loop.deliver(croft.VMsListed{At: c.eventTime(), Delta: croft.VMDelta{Whole: true, Changed: response.VMs}})
		c.loop.deliver(croft.RowsRead{At: c.eventTime(), Prefix: croft.MemberPrefix, Rows: response.Rows})
		return
	}
}

// pollReports reads the workers' reports, which arrive with a lag, on the VMs with jobs in the pools that this entry
// plans for.
func (c *components) pollReports(ctx context.Context) error {
	since := croft.Millis(0)
	for {
		vms := c.loop.State().Fleet().JobVMs(c.self.ID, c.clock.Now())
		if len(vms) > 0 {
			since = c.readReports(ctx, since, vms)
		}
		if err := c.clock.Sleep(ctx, max(minReportsInterval, reportsIntervalPerVM*croft.Millis(len(vms)))); err != nil {
			return err
		}
	}
}

// readReports posts the reports that were taken after an instant and returns the instant of the newest; without reports,
// it returns the given instant.
func (c *components) readReports(ctx context.Context, since croft.Millis, vms []croft.VMID) croft.Millis {
	reports, err := c.platform.Reports(ctx, since, vms)
	if err != nil || len(reports) == 0 {
		return since
	}
	c.loop.deliver(croft.WorkersReported{At: c.eventTime(), Reports: reports})
	for _, r := range reports {
		since = max(since, r.Taken)
	}
	return since
}
