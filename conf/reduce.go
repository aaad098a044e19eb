package conf

import (
	"fmt"

	"waxwing.example/croft"
)

// Spans of the reducer, in milliseconds.
const (
	// pollSpan is the time between two reads of the platform by an entry that serves; peers tell it sooner.
	pollSpan = 4 * croft.Second
	// bootPollSpan is that time for an entry that does not serve yet.
	bootPollSpan = croft.Second
	pollJitter   = croft.Second / 2
	// askSpan is how long an answer of a peer is awaited before another is asked.
	askSpan = croft.Second / 2
	// bootSpan is how long a new entry waits for the platform's word before it serves without.
	bootSpan = 5 * croft.Second
	// heardSpan is how long a new entry waits for a version that a peer told of.
	heardSpan = 30 * croft.Second
)

// Options set the reducer.
type Options struct {
	// LastRead takes whatever the platform's last read says, serves by it at once and asks no peer; the baseline.
	LastRead bool
}

// State is the configuration in force on an entry and what it knows of newer ones.
type State struct {
	options Options
	config  croft.Config
	// earlier are the versions in force before, the newest last.
	earlier []croft.Config
	ready   bool
	// started is when the first event came, zero before.
	started croft.Millis
	polled  croft.Millis
	pause   croft.Millis
	// heard is the highest version that a peer told of.
	heard   uint64
	asked   uint64
	askedAt croft.Millis
}

// New returns the state of an entry that has just started.
func New(o Options) State { return State{options: o} }

// Config returns the configuration in force.
func (s State) Config() croft.Config { return s.config }

// Ready reports whether requests may be served by the configuration in force.
func (s State) Ready() bool { return s.ready }

// Inputs is what the reducer reads of other parts of the state.
type Inputs struct {
	// PlatformReachable says that the platform answered lately.
	PlatformReachable bool
}

// Reduce puts the highest version learned in force and asks for higher ones.
func Reduce(s State, e croft.Event, in Inputs) (State, []croft.Effect) {
	if s.started == 0 {
		s.started = e.When()
	}
	switch e := e.(type) {
	case croft.ConfigReceived:
		if s.options.LastRead {
			return takeLastRead(s, e), nil
		}
		return learn(s, e)
	case croft.PeerMessageReceived:
		if s.options.LastRead {
			return s, nil
		}
		return hear(s, e)
	case croft.Tick:
		return tick(s, e, in)
	}
	return s, nil
}

func learn(s State, e croft.ConfigReceived) (State, []croft.Effect) {
	if e.Config.Version < s.config.Version {
		return s, nil
	}
	higher := e.Config.Version > s.config.Version
	if higher {
		s = s.withEarlier(s.config)
		s.config = e.Config
	}
	s.ready = s.ready || e.Fresh && s.config.Version > 0
	if !higher {
		return s, nil
	}
	effects := []croft.Effect{croft.Decision{
		Action:  "Configure",
		Subject: fmt.Sprintf("version %d", s.config.Version),
		Choice:  "in force",
		Reason:  "the highest version known",
	}}
	if e.Accepted {
		// Only the entry that accepted tells all others; those that learn don't, or messages would grow as the square.
		effects = append(effects, croft.NotifyPeers{})
	}
	return s, effects
}

func hear(s State, e croft.PeerMessageReceived) (State, []croft.Effect) {
	ahead := e.Peer
	for _, p := range e.Known {
		if p.ConfigVersion > ahead.ConfigVersion {
			ahead = p
		}
	}
	s.heard = max(s.heard, ahead.ConfigVersion)
	if ahead.ConfigVersion <= s.config.Version || ahead.Address == "" {
		return s, nil
	}
	if ahead.ConfigVersion <= s.asked && e.Time < s.askedAt+askSpan {
		return s, nil
	}
	s.asked = ahead.ConfigVersion
	s.askedAt = e.Time
	return s, []croft.Effect{croft.FetchConfig{Address: ahead.Address, Above: s.config.Version}}
}

func tick(s State, e croft.Tick, in Inputs) (State, []croft.Effect) {
	s.ready = s.ready || s.mayServe(e.Time, in)
	if !in.PlatformReachable && s.ready || e.Time < s.polled+s.pause {
		return s, nil
	}
	s.polled = e.Time
	s.pause = bootPollSpan
	if s.ready {
		s.pause = pollSpan - croft.Millis(e.Seed%uint64(pollJitter))
	}
	return s, []croft.Effect{croft.FetchConfig{Above: s.config.Version}}
}

// mayServe reports whether a new entry has waited long enough for a platform that does not answer.
func (s State) mayServe(now croft.Millis, in Inputs) bool {
	waited := now - s.started
	if s.config.Version == 0 || in.PlatformReachable || waited < bootSpan {
		return false
	}
	return s.config.Version >= s.heard || waited >= heardSpan
}
