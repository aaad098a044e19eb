package daemon

import (
	"context"
	"errors"
	"maps"
	"net/netip"
	"slices"

	"waxwing.example/croft"
	"waxwing.example/croft/conf"
	"waxwing.example/croft/meter"
	"waxwing.example/croft/ops"
)

// backend implements the operators' API of this entry.
type backend struct{ *components }

var _ ops.Backend = backend{}

// Execute passes an operator's command to the control loop and converts its error to one of package ops. While the
// platform is unreachable, it rejects every command.
func (b backend) Execute(ctx context.Context, command croft.Command) error {
	if !b.loop.View().PlatformReachable {
		return &ops.UnavailableError{Reason: "the platform is out of reach; nothing was changed"}
	}
	err := b.commands.execute(ctx, b.loop, b.eventTime(), command)
	var refused *RefusedError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refused):
		return &ops.RefusedError{Reason: refused.Reason}
	}
	return &ops.UnknownError{Reason: err.Error()}
}

// Accept puts a configuration in force and passes it to this entry's control loop, which then notifies the other entries
// at once.
func (b backend) Accept(ctx context.Context, config croft.Config, reviewed uint64, who string) (uint64, error) {
	version, err := conf.Accept(ctx, b.table, b.platform, config, reviewed, who)
	if err != nil {
		return 0, acceptError(err)
	}
	b.loop.deliver(croft.ConfigReceived{At: b.eventTime(), Config: config.WithVersion(version), Accepted: true})
	return version, nil
}

// acceptError converts an error of conf.Accept to one of package ops.
func acceptError(err error) error {
	var race *conf.RaceError
	var invalid *conf.CheckError
	var unavailable *croft.UnavailableError
	switch {
	case errors.As(err, &race):
		return &ops.RaceError{Reviewed: race.Reviewed, InForce: race.Winner.Version, Winner: race.Winner.Who}
	case errors.As(err, &invalid):
		return &ops.InvalidError{Problems: formatProblems(invalid)}
	case errors.As(err, &unavailable):
		return &ops.UnavailableError{Reason: unavailable.Reason}
	}
	return &ops.UnknownError{Reason: err.Error()}
}

// formatProblems returns a line with the field and the reason for each problem of a configuration.
func formatProblems(e *conf.CheckError) []string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.Field+": "+p.Reason)
	}
	return lines
}

// classCounts returns the request counts of each class since the entry started, sorted by the class's name.
func classCounts(m *meter.Meter) []croft.ClassCount {
	totals := m.Snapshot()
	counts := make([]croft.ClassCount, 0, len(totals))
	for _, name := range slices.Sorted(maps.Keys(totals)) {
		counts = append(counts, totals[name].ClassCount)
	}
	return counts
}

// Config returns the configuration in force on this entry.
func (b backend) Config() croft.Config { return b.loop.View().Config }

// Status returns the state of this entry itself.
func (b backend) Status() ops.Status {
	v := b.loop.View()
	return ops.Status{
		Entry:             v.Self.ID,
		DataCentre:        v.Self.DataCentre,
		Version:           v.Config.Version,
		Ready:             v.Ready,
		Stopping:          v.Stopping,
		PlatformReachable: v.PlatformReachable,
		Peers:             v.Entries,
		Classes:           classCounts(b.front.Meter()),
	}
}

// Pools returns the state of each pool.
func (b backend) Pools() []ops.PoolLine {
	s := b.loop.State()
	now := b.clock.Now()
	var lines []ops.PoolLine
	for _, p := range s.Config().Pools {
		v := s.Fleet().Pool(p.ID, now)
		lines = append(lines, ops.PoolLine{
			Pool:      p.ID,
			Serving:   v.Members - v.Draining - v.Away,
			Draining:  v.Draining,
			Away:      v.Away,
			Endpoints: v.Usable,
			Buffer:    v.Usable - p.MinServing,
			Moves:     v.Arrived,
			Due:       v.Maintenance.Due,
			Done:      v.Maintenance.Done,
			Holder:    v.Holder,
		})
	}
	return lines
}

// VMs returns the state of each VM that has a member row.
func (b backend) VMs() []ops.VMLine {
	s := b.loop.State()
	var lines []ops.VMLine
	for id, m := range s.Fleet().Members().All() {
		v, _ := s.Fleet().VMs().Get(id)
		lines = append(lines, vmLine(v, m.Member))
	}
	return lines
}

// Jobs returns the state of each job.
func (b backend) Jobs() []ops.JobLine {
	var lines []ops.JobLine
	for _, j := range b.loop.State().Fleet().Jobs().All() {
		lines = append(lines, ops.JobLine{
			Job:        j.ID,
			Service:    j.Service,
			Pool:       j.Pool,
			Status:     j.Status,
			Worker:     j.Worker,
			Run:        j.Run,
			Urgency:    j.Urgency,
			Reason:     j.Reason,
			Checkpoint: j.Checkpoint,
		})
	}
	return lines
}

// Cut simulates a network partition: it drops this entry's traffic to and from the prefixes until Heal.
func (b backend) Cut(prefixes []string) error {
	if !b.settings.Faults.Allowed {
		return &ops.RefusedError{Reason: "Faults.Allowed is false in the settings"}
	}
	parsed := make([]netip.Prefix, 0, len(prefixes))
	for _, p := range prefixes {
		prefix, err := netip.ParsePrefix(p)
		if err != nil {
			return &ops.InvalidError{Problems: []string{"Prefixes: " + err.Error()}}
		}
		parsed = append(parsed, prefix)
	}
	b.network.Partition(parsed...)
	return nil
}

// Heal ends all partitions made by Cut.
func (b backend) Heal() error {
	if !b.settings.Faults.Allowed {
		return &ops.RefusedError{Reason: "Faults.Allowed is false in the settings"}
	}
	b.network.Heal()
	return nil
}

// vmLine combines a VM of the platform's list, zero if the list lacks it, with its member row.
func vmLine(v croft.VM, m croft.Member) ops.VMLine {
	return ops.VMLine{
		VM:         m.VM,
		Pool:       m.Pool,
		Phase:      m.Phase,
		Purpose:    m.Purpose,
		Target:     m.Target,
		Epoch:      m.Epoch,
		DataCentre: v.DataCentre,
		Rack:       v.Rack,
		Status:     v.Status,
		Boot:       v.Boot,
		Since:      m.Since,
		Maintained: m.Maintained,
	}
}
