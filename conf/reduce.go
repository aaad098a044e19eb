package conf

import (
	"fmt"

	"waxwing.example/croft"
)

// Intervals and timeouts of the reducer.
const (
	// pollInterval is the time between two reads of the platform by an entry that serves; it learns of most changes
	// sooner, from its peers.
	pollInterval = 4 * croft.Second
	// bootPollInterval is the time between two reads by an entry that does not serve yet.
	bootPollInterval = croft.Second
	// pollJitter bounds the random time by which pollInterval is shortened.
	pollJitter = croft.Second / 2
	// fetchTimeout is the time after which a version requested from one peer is requested from another.
	fetchTimeout = croft.Second / 2
	// platformWait is how long a new entry waits for an unreachable platform before it serves with a configuration that
	// the platform has not confirmed.
	platformWait = 5 * croft.Second
	// announcedWait is how long such an entry waits for the highest version that its peers announced, before it serves
	// with a lower one.
	announcedWait = 30 * croft.Second
)

// Options select the mechanism or its baseline.
type Options struct {
	// LastRead selects the baseline that uses whatever the last read of the platform returned and asks no peer.
	LastRead bool
}

// State is the configuration that an entry uses, and what the entry knows about newer versions.
type State struct {
	options Options
	config  croft.Config
	// earlier are the versions used before, the newest last.
	earlier []croft.Config
	// ready says that requests may be served with config.
	ready bool
	// startedAt is the time of the first event, zero before it.
	startedAt croft.Millis
	// polledAt is when the platform was last polled; the next poll is due pollDelay later.
	polledAt  croft.Millis
	pollDelay croft.Millis
	// announced is the highest version that a peer announced.
	announced uint64
	// requestedVersion is the version last requested from a peer, at requestedAt.
	requestedVersion uint64
	requestedAt      croft.Millis
}

// New returns the initial state of an entry.
func New(o Options) State { return State{options: o} }

// Config returns the configuration in force.
func (s State) Config() croft.Config { return s.config }

// Ready reports whether requests may be served with the configuration that Config returns.
func (s State) Ready() bool { return s.ready }

// Inputs are the facts from other packages that the reducer depends on.
type Inputs struct {
	// PlatformReachable says that the platform has answered recently.
	PlatformReachable bool
}

// Reduce applies an event: it switches to a higher version when one is received, requests higher versions that peers
// announce, and polls the platform for them.
func Reduce(s State, e croft.Event, in Inputs) (State, []croft.Effect) {
	if s.startedAt == 0 {
		s.startedAt = e.When()
	}
	switch e := e.(type) {
	case croft.ConfigReceived:
		if s.options.LastRead {
			return applyLastRead(s, e)
		}
		return applyConfig(s, e)
	case croft.PeerMessageReceived:
		if s.options.LastRead {
			return s, nil
		}
		return applyPeerMessage(s, e)
	case croft.Tick:
		return tick(s, e, in)
	}
	return s, nil
}

// applyConfig switches to a received configuration if its version is higher than the current one. A fresh one, which the
// platform confirmed as the newest, makes a new entry ready.
func applyConfig(s State, e croft.ConfigReceived) (State, []croft.Effect) {
	if e.Config.Version < s.config.Version {
		return s, nil
	}
	previous := s.config.Version
	higher := e.Config.Version > previous
	if higher {
		s = s.withEarlier(s.config)
		s.config = e.Config
	}
	s.ready = s.ready || e.Fresh && s.config.Version > 0
	if !higher {
		return s, nil
	}
	effects := []croft.Effect{s.inForce(fmt.Sprintf("received a version higher than the previous version %d", previous))}
	if e.Accepted {
		// Only the entry that accepted the version notifies all others. If each receiver did so too, the number of
		// messages would grow with the square of the number of entries.
		effects = append(effects, croft.NotifyPeers{})
	}
	return s, effects
}

// inForce logs that the current version has taken effect.
func (s State) inForce(reason string) croft.Decision {
	return croft.Decision{
		Action:  "Configure",
		Subject: fmt.Sprintf("version %d", s.config.Version),
		Choice:  "in force",
		Reason:  reason,
	}
}

// applyPeerMessage requests the highest version that a message names, if it is higher than the current one, from the
// entry that has it.
func applyPeerMessage(s State, e croft.PeerMessageReceived) (State, []croft.Effect) {
	newest := e.Peer
	for _, p := range e.Known {
		if p.ConfigVersion > newest.ConfigVersion {
			newest = p
		}
	}
	s.announced = max(s.announced, newest.ConfigVersion)
	if newest.ConfigVersion <= s.config.Version || newest.Address == "" {
		return s, nil
	}
	if newest.ConfigVersion <= s.requestedVersion && e.Time < s.requestedAt+fetchTimeout {
		return s, nil
	}
	s.requestedVersion = newest.ConfigVersion
	s.requestedAt = e.Time
	return s, []croft.Effect{croft.FetchConfig{Address: newest.Address, Above: s.config.Version}}
}

// tick polls the platform when a poll is due; an entry that is ready does not poll while the platform is unreachable.
func tick(s State, e croft.Tick, in Inputs) (State, []croft.Effect) {
	s.ready = s.ready || s.mayServeUnconfirmed(e.Time, in)
	if !in.PlatformReachable && s.ready || e.Time < s.polledAt+s.pollDelay {
		return s, nil
	}
	s.polledAt = e.Time
	s.pollDelay = bootPollInterval
	if s.ready {
		s.pollDelay = pollInterval - croft.Millis(e.Seed%uint64(pollJitter))
	}
	return s, []croft.Effect{croft.FetchConfig{Above: s.config.Version}}
}

// mayServeUnconfirmed reports whether a new entry may serve with a configuration that the platform has not confirmed,
// because it has waited for the unreachable platform, and for announced versions, long enough.
func (s State) mayServeUnconfirmed(now croft.Millis, in Inputs) bool {
	waited := now - s.startedAt
	if s.config.Version == 0 || in.PlatformReachable || waited < platformWait {
		return false
	}
	return s.config.Version >= s.announced || waited >= announcedWait
}
