package state

import (
	"waxwing.example/croft"
	"waxwing.example/croft/conf"
	"waxwing.example/croft/fleet"
	"waxwing.example/croft/roster"
)

// Options are the entry's own description and the options of the packages whose states make up State.
type Options struct {
	Self   croft.Peer
	Roster roster.Options
	Fleet  fleet.Options
	Conf   conf.Options
}

// State is the complete control state of an entry; it is immutable.
type State struct {
	roster roster.State
	conf   conf.State
	fleet  fleet.State
	// platformReachable says that the platform has answered recently.
	platformReachable bool
	// stopping says that a shutdown was requested.
	stopping   bool
	view       *croft.View
	viewInputs viewInputs
}

// viewInputs are the change counters and flags that a view depends on; a new view is built when one of them changes.
type viewInputs struct {
	rosterChanges   uint64
	endpointChanges uint64
	configVersion   uint64
	// configReady says that requests may be served with the configuration.
	configReady       bool
	platformReachable bool
	stopping          bool
}

// New returns the initial state of an entry.
func New(o Options) State {
	s := State{
		roster: roster.New(o.Self, o.Roster),
		conf:   conf.New(o.Conf),
		fleet:  fleet.New(o.Fleet),
	}
	return s.withView()
}

// View returns the current view for request handling; callers must not modify it.
func (s State) View() *croft.View { return s.view }

// Self returns the entry's description of itself.
func (s State) Self() croft.Peer { return s.roster.Self() }

// Message returns the content of a message to another entry; asked lists the entries whose details it requested, and
// the random seed selects which part of the roster is included.
func (s State) Message(now croft.Millis, to croft.Peer, asked []croft.EntryID, seed uint64) roster.MessageContent {
	return s.roster.Message(now, to, asked, seed)
}

// Fleet returns the state of the fleet.
func (s State) Fleet() fleet.State { return s.fleet }

// VMs returns the VMs of the platform's VM list as last read, in the order of their IDs.
func (s State) VMs() []croft.VM {
	vms := make([]croft.VM, 0, s.fleet.VMs().Len())
	for _, v := range s.fleet.VMs().All() {
		vms = append(vms, v)
	}
	return vms
}

// MemberRows returns the member rows as last read or written.
func (s State) MemberRows() []croft.Row { return s.fleet.MemberRows() }

// Config returns the configuration in force.
func (s State) Config() croft.Config { return s.conf.Config() }

// ConfigUpdate returns the update from a known version to the configuration in force, and whether the latter is newer.
func (s State) ConfigUpdate(known uint64) (conf.Update, bool) { return s.conf.UpdateFrom(known) }

// PlatformReachable reports whether the platform has answered recently.
func (s State) PlatformReachable() bool { return s.platformReachable }

// Reduce applies one event and returns the new state and the effects to carry out.
func Reduce(s State, e croft.Event) (State, []croft.Effect) {
	switch ev := e.(type) {
	case croft.PlatformReachability:
		// The other reducers do not need this event: they get the reachability with their inputs.
		return s.applyReachability(ev)
	case croft.StopRequested:
		s.stopping = true
	}
	var effects []croft.Effect
	s, effects = s.reduceRoster(e, effects)
	s, effects = s.reduceConf(e, effects)
	s, effects = s.reduceFleet(e, effects)
	return s.withSelf().withView(), effects
}

func (s State) applyReachability(e croft.PlatformReachability) (State, []croft.Effect) {
	if s.platformReachable == e.Reachable {
		return s, nil
	}
	s.platformReachable = e.Reachable
	// Operators' alerts match both reasons, so their texts must stay. "Without moves and leases" means that the entry
	// begins no moves, job placements or takeovers until the platform answers a poll.
	choice := "Cut"
	reason := "polls failed; serving on with the last configuration and fleet, without moves and leases"
	if e.Reachable {
		choice = "Reachable"
		reason = "a poll was answered"
	}
	return s.withView(), []croft.Effect{croft.Decision{
		Action: "Platform", Subject: string(s.Self().ID), Choice: choice, Reason: reason,
	}}
}

func (s State) reduceRoster(e croft.Event, effects []croft.Effect) (State, []croft.Effect) {
	part, more := roster.Reduce(s.roster, e)
	s.roster = part
	return s, append(effects, more...)
}

func (s State) reduceConf(e croft.Event, effects []croft.Effect) (State, []croft.Effect) {
	part, more := conf.Reduce(s.conf, e, conf.Inputs{
		PlatformReachable: s.platformReachable,
	})
	s.conf = part
	return s, append(effects, more...)
}

func (s State) reduceFleet(e croft.Event, effects []croft.Effect) (State, []croft.Effect) {
	part, more := fleet.Reduce(s.fleet, e, fleet.Inputs{
		Self:              s.Self(),
		Config:            s.conf.Config(),
		Entries:           s.roster.Alive(),
		PlatformReachable: s.platformReachable,
	})
	s.fleet = part
	return s, append(effects, more...)
}

// withSelf updates the configuration version and the stopping flag in the entry's description of itself.
func (s State) withSelf() State {
	self := s.roster.Self()
	self.ConfigVersion = s.conf.Config().Version
	self.Stopping = s.stopping
	s.roster = s.roster.WithSelf(self)
	return s
}
