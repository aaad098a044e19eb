package state

import (
	"waxwing.example/croft"
	"waxwing.example/croft/conf"
	"waxwing.example/croft/fleet"
	"waxwing.example/croft/roster"
)

// Options hold the options of the parts.
type Options struct {
	Self   croft.Peer
	Roster roster.Options
	Fleet  fleet.Options
	Conf   conf.Options
}

// State is the whole immutable control state of an entry.
type State struct {
	roster    roster.State
	conf      conf.State
	fleet     fleet.State
	reachable bool
	stopping  bool
	view      *croft.View
	drawn     drawn
}

// drawn is what the view was drawn from, to see when it must be drawn anew.
type drawn struct {
	roster    uint64
	fleet     uint64
	version   uint64
	ready     bool
	reachable bool
	stopping  bool
}

// New returns the state of an entry that has just started.
func New(o Options) State {
	s := State{
		roster: roster.New(o.Self, o.Roster),
		conf:   conf.New(o.Conf),
		fleet:  fleet.New(o.Fleet),
	}
	return s.withView()
}

// View returns the newest picture of the state for traffic; it must not be changed.
func (s State) View() *croft.View { return s.view }

// Self returns how the entry describes itself.
func (s State) Self() croft.Peer { return s.roster.Self() }

// Message returns what a message to another entry carries, with a random seed.
func (s State) Message(now croft.Millis, to croft.Peer, asked []croft.EntryID, seed uint64) roster.MessageContent {
	return s.roster.Message(now, to, asked, seed)
}

// Fleet returns the fleet's part of the state.
func (s State) Fleet() fleet.State { return s.fleet }

// VMs returns the platform's VM list as last read.
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

// ConfigUpdate returns what leads from a version to the one in force, and whether that one is higher.
func (s State) ConfigUpdate(known uint64) (conf.Update, bool) { return s.conf.UpdateFrom(known) }

// PlatformReachable reports whether the platform answered lately.
func (s State) PlatformReachable() bool { return s.reachable }

// Reduce takes one event into the state and returns what must be done.
func Reduce(s State, e croft.Event) (State, []croft.Effect) {
	switch ev := e.(type) {
	case croft.PlatformReachability:
		return s.platformSeen(ev)
	case croft.StopRequested:
		s.stopping = true
	}
	var effects []croft.Effect
	s, effects = s.reduceRoster(e, effects)
	s, effects = s.reduceConf(e, effects)
	s, effects = s.reduceFleet(e, effects)
	return s.withSelf().withView(), effects
}

func (s State) platformSeen(e croft.PlatformReachability) (State, []croft.Effect) {
	if s.reachable == e.Reachable {
		return s, nil
	}
	s.reachable = e.Reachable
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
		PlatformReachable: s.reachable,
	})
	s.conf = part
	return s, append(effects, more...)
}

func (s State) reduceFleet(e croft.Event, effects []croft.Effect) (State, []croft.Effect) {
	part, more := fleet.Reduce(s.fleet, e, fleet.Inputs{
		Self:      s.Self(),
		Config:    s.conf.Config(),
		Entries:   s.roster.Alive(),
		Reachable: s.reachable,
	})
	s.fleet = part
	return s, append(effects, more...)
}

// withSelf keeps the entry's own description true.
func (s State) withSelf() State {
	self := s.roster.Self()
	self.ConfigVersion = s.conf.Config().Version
	self.Stopping = s.stopping
	s.roster = s.roster.WithSelf(self)
	return s
}
