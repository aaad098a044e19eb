package fleet

import (
	"waxwing.example/croft"
	"waxwing.example/croft/buffer"
	"waxwing.example/croft/lease"
	"waxwing.example/croft/maint"
	"waxwing.example/croft/place"
	"waxwing.example/croft/pools"
)

// Options select mechanisms and baselines.
type Options struct {
	Lease lease.Options
	// FixedBuffer selects the baseline of a fixed share for the pools' sizes.
	FixedBuffer bool
	// ListOnly selects the baseline that believes only the platform's VM list of leaving VMs.
	ListOnly bool
}

// DefaultOptions returns the options for production.
func DefaultOptions() Options { return Options{Lease: lease.DefaultOptions()} }

// Inputs are what the decisions about the fleet read from other parts.
type Inputs struct {
	Self   croft.Peer
	Config croft.Config
	// Entries are the entries thought alive.
	Entries []croft.Peer
	// Reachable says that the platform answered lately.
	Reachable bool
}

// State is what one entry knows of the fleet.
type State struct {
	options Options
	lease   lease.State
	pools   pools.State
	maint   maint.State
	buffer  buffer.State
	place   place.State
}

// New returns the state of an entry that knows nothing yet.
func New(options Options) State {
	return State{
		options: options,
		lease:   lease.New(options.Lease),
		pools:   pools.New().WithListOnly(options.ListOnly),
		maint:   maint.New(),
		buffer:  buffer.New(),
		place:   place.New(),
	}
}

// Reduce returns the state after an event and the effects it asks for.
func Reduce(s State, e croft.Event, in Inputs) (State, []croft.Effect) {
	var effects, more []croft.Effect
	s.lease, effects = lease.Reduce(s.lease, e, lease.Inputs{
		Self:      in.Self,
		Entries:   in.Entries,
		Pools:     in.Config.Pools,
		Reachable: in.Reachable,
	})
	s.pools, more = pools.Reduce(s.pools, e, s.poolInputs(in))
	effects = append(effects, more...)
	s, more = s.plan(e, in)
	effects = append(effects, more...)
	s.place, more = place.Reduce(s.place, e, place.Inputs{
		Self:      in.Self,
		Config:    in.Config,
		Lease:     s.lease,
		Pools:     s.pools,
		Reachable: in.Reachable,
	})
	return s, append(effects, more...)
}

func (s State) poolInputs(in Inputs) pools.Inputs {
	return pools.Inputs{
		Self:      in.Self,
		Config:    in.Config,
		Lease:     s.lease,
		Reachable: in.Reachable,
		Load:      s.place,
	}
}

// plan begins the steps that maintenance and buffers want.
func (s State) plan(e croft.Event, in Inputs) (State, []croft.Effect) {
	now := e.When()
	holds := func(pool croft.PoolID) bool {
		return in.Reachable && s.lease.Holds(in.Self.ID, pool, now)
	}
	var asks, moves []pools.DrainRequest
	s.maint, asks = maint.Reduce(s.maint, e, maint.Inputs{
		Self: in.Self, Config: in.Config, Pools: s.pools, Holds: holds,
	})
	s.buffer, moves = buffer.Reduce(s.buffer, e, buffer.Inputs{
		Self: in.Self, Config: in.Config, Pools: s.pools, Holds: holds, Fixed: s.options.FixedBuffer,
	})
	s, effects := s.begin(asks, now, in)
	s, more := s.begin(moves, now, in)
	return s, append(effects, more...)
}

func (s State) begin(asks []pools.DrainRequest, now croft.Millis, in Inputs) (State, []croft.Effect) {
	if len(asks) == 0 {
		return s, nil
	}
	m, ok := s.pools.Member(asks[0].VM)
	if !ok {
		return s, nil
	}
	var effects []croft.Effect
	s.pools, effects = s.pools.BeginDrains(m.Pool, asks, now, s.poolInputs(in))
	return s, effects
}
