package state

import "waxwing.example/croft"

// withView builds a new view if one of its inputs has changed.
func (s State) withView() State {
	inputs := viewInputs{
		rosterChanges:     s.roster.ChangeCount(),
		endpointChanges:   s.fleet.EndpointChanges(),
		configVersion:     s.conf.Config().Version,
		configReady:       s.conf.Ready(),
		platformReachable: s.platformReachable,
		stopping:          s.stopping,
	}
	if s.view != nil && inputs == s.viewInputs {
		return s
	}
	s.view = s.buildView(inputs)
	s.viewInputs = inputs
	return s
}

func (s State) buildView(inputs viewInputs) *croft.View {
	config := s.conf.Config()
	v := &croft.View{
		Self:              s.Self(),
		Config:            config,
		Endpoints:         s.endpoints(inputs),
		Entries:           s.roster.Alive(),
		Share:             make(map[croft.PoolID]int, len(config.Pools)),
		PlatformReachable: s.platformReachable,
		Stopping:          s.stopping,
	}
	for _, p := range config.Pools {
		v.Share[p.ID] = s.roster.Share(p.ID)
	}
	v.Ready = inputs.configReady && !s.stopping && len(v.Endpoints) > 0
	return v
}

// endpoints returns the map of the previous view if no endpoint has changed since.
func (s State) endpoints(inputs viewInputs) map[croft.PoolID][]croft.Endpoint {
	if s.view != nil && inputs.endpointChanges == s.viewInputs.endpointChanges {
		return s.view.Endpoints
	}
	return s.fleet.Endpoints()
}
