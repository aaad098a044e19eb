package fleet

import (
	"waxwing.example/croft"
	"waxwing.example/croft/buffer"
	"waxwing.example/croft/lease"
	"waxwing.example/croft/maint"
	"waxwing.example/croft/place"
	"waxwing.example/croft/pools"
)

// Options select the fleet's mechanisms, or the baselines that they are compared with.
type Options struct {
	Lease lease.Options
	// FixedBuffer selects the baseline that gives each pool a buffer of a fixed share of its size.
	FixedBuffer bool
	// ListOnly selects the baseline in which only the platform's VM list decides whether a VM may be used, whatever drains
	// and other leaving notices say.
	ListOnly bool
}

// DefaultOptions returns the options for production.
func DefaultOptions() Options { return Options{Lease: lease.DefaultOptions()} }

// Inputs are the facts from other packages that the decisions about the fleet depend on.
type Inputs struct {
	Self   croft.Peer
	Config croft.Config
	// Entries are the entries considered alive, including this one.
	Entries []croft.Peer
	// PlatformReachable says that the platform has answered recently.
	PlatformReachable bool
}

// State is what one entry knows about the fleet; it is immutable.
type State struct {
	options Options
	lease   lease.State
	pools   pools.State
	maint   maint.State
	buffer  buffer.State
	place   place.State
}

// New returns the state of an entry that knows nothing about the fleet yet.
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

// Reduce applies one event and returns the new state and the effects to carry out.
func Reduce(s State, e croft.Event, in Inputs) (State, []croft.Effect) {
	var effects, more []croft.Effect
	s.lease, effects = lease.Reduce(s.lease, e, lease.Inputs{
		Self:              in.Self,
		Entries:           in.Entries,
		Pools:             in.Config.Pools,
		PlatformReachable: in.PlatformReachable,
	})
	s.pools, more = pools.Reduce(s.pools, e, s.poolInputs(in))
	effects = append(effects, more...)
	s, more = s.planDrains(e, in)
	effects = append(effects, more...)
	s.place, more = place.Reduce(s.place, e, place.Inputs{
		Self:              in.Self,
		Config:            in.Config,
		Lease:             s.lease,
		Pools:             s.pools,
		PlatformReachable: in.PlatformReachable,
	})
	return s, append(effects, more...)
}

func (s State) poolInputs(in Inputs) pools.Inputs {
	return pools.Inputs{
		Self:              in.Self,
		Config:            in.Config,
		Lease:             s.lease,
		PlatformReachable: in.PlatformReachable,
		Load:              s.place,
	}
}

// planDrains begins drains in the pools that this entry plans for: those for maintenance and those that move VMs between
// pools to reach their target sizes.
func (s State) planDrains(e croft.Event, in Inputs) (State, []croft.Effect) {
	now := e.When()
	holds := func(pool croft.PoolID) bool {
		return in.PlatformReachable && s.lease.Holds(in.Self.ID, pool, now)
	}
	var maintenance, moves []pools.DrainRequest
	s.maint, maintenance = maint.Reduce(s.maint, e, maint.Inputs{
		Self: in.Self, Config: in.Config, Pools: s.pools, Holds: holds,
	})
	s.buffer, moves = buffer.Reduce(s.buffer, e, buffer.Inputs{
		Self: in.Self, Config: in.Config, Pools: s.pools, Holds: holds, Fixed: s.options.FixedBuffer,
	})
	s, effects := s.beginDrains(maintenance, now, in)
	s, more := s.beginDrains(moves, now, in)
	return s, append(effects, more...)
}

// beginDrains begins the requested drains; their VMs must all be in one pool.
func (s State) beginDrains(requests []pools.DrainRequest, now croft.Millis, in Inputs) (State, []croft.Effect) {
	if len(requests) == 0 {
		return s, nil
	}
	m, found := s.pools.Member(requests[0].VM)
	if !found {
		return s, nil
	}
	var effects []croft.Effect
	s.pools, effects = s.pools.BeginDrains(m.Pool, requests, now, s.poolInputs(in))
	return s, effects
}
