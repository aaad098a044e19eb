package croft

// Config is one accepted version of what operators declared; it is never changed in place.
type Config struct {
	// Version grows by one with each acceptance.
	Version  uint64
	Pools    []Pool
	Services []Service
	Teams    []Team
}

// Pool declares a set of VMs that serve the same services.
type Pool struct {
	ID PoolID
	// Promise is the share of requests answered in time, in parts per million.
	Promise int64
	// MinServing is the number of VMs below which the promise cannot be kept.
	MinServing int
	// Size is the number of VMs the pool should have, its buffer included; zero leaves it to the planner.
	Size int
	// Spare marks the pool that lends VMs to the others.
	Spare bool
	// WaveSize is the most VMs of the pool away for maintenance at once.
	WaveSize int
}

// Service declares a service and the request kinds it answers.
type Service struct {
	ID    ServiceID
	Team  TeamID
	Pool  PoolID
	Kinds []Kind
}

// Kind declares one request kind of a service.
type Kind struct {
	ID KindID
	// Urgency orders kinds, zero the most urgent.
	Urgency int
	// FloorShare is the share of the pool's slots always kept for the kind, in thousandths.
	FloorShare int
	// Deadline is the longest a caller waits, in milliseconds.
	Deadline Millis
	// Repeatable says that running a request twice does no harm.
	Repeatable bool
	// MeanRate is the expected number of requests a second in thousandths.
	MeanRate int64
}

// Team declares an owner of services and its quota.
type Team struct {
	ID    TeamID
	Quota Resources
}

// WithVersion returns the configuration under another version.
func (c Config) WithVersion(version uint64) Config {
	c.Version = version
	return c
}

// Pool returns the pool of that name and whether it is declared.
func (c Config) Pool(id PoolID) (Pool, bool) {
	for _, p := range c.Pools {
		if p.ID == id {
			return p, true
		}
	}
	return Pool{}, false
}

// Service returns the service of that name and whether it is declared.
func (c Config) Service(id ServiceID) (Service, bool) {
	for _, s := range c.Services {
		if s.ID == id {
			return s, true
		}
	}
	return Service{}, false
}

// Kind returns the kind of that name and whether the service declares it.
func (s Service) Kind(id KindID) (Kind, bool) {
	for _, k := range s.Kinds {
		if k.ID == id {
			return k, true
		}
	}
	return Kind{}, false
}
