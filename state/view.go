package state

import "waxwing.example/croft"

// withView draws the view anew where something it shows has changed.
func (s State) withView() State {
	d := drawn{
		roster:    s.roster.ChangeCount(),
		fleet:     s.fleet.EndpointChanges(),
		version:   s.conf.Config().Version,
		ready:     s.conf.Ready(),
		reachable: s.reachable,
		stopping:  s.stopping,
	}
	if s.view != nil && d == s.drawn {
		return s
	}
	s.view = s.draw(d)
	s.drawn = d
	return s
}

func (s State) draw(d drawn) *croft.View {
	config := s.conf.Config()
	v := &croft.View{
		Self:              s.Self(),
		Config:            config,
		Endpoints:         s.endpoints(d),
		Entries:           s.roster.Alive(),
		Share:             make(map[croft.PoolID]int, len(config.Pools)),
		PlatformReachable: s.reachable,
		Stopping:          s.stopping,
	}
	for _, p := range config.Pools {
		v.Share[p.ID] = s.roster.Share(p.ID)
	}
	v.Ready = d.ready && !s.stopping && len(v.Endpoints) > 0
	return v
}

// endpoints keeps the last view's where the fleet has not changed since.
func (s State) endpoints(d drawn) map[croft.PoolID][]croft.Endpoint {
	if s.view != nil && d.fleet == s.drawn.fleet {
		return s.view.Endpoints
	}
	return s.fleet.Endpoints()
}
