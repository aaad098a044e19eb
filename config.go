package croft

// Config is one accepted version of the operators' configuration; it is never changed in place.
type Config struct {
	// Version grows by one with each accepted configuration.
	Version  uint64
	Pools    []Pool
	Services []Service
	Teams    []Team
}

// Pool configures a set of VMs that serve the same services.
type Pool struct {
	ID PoolID
	// Promise is the availability target: the share of requests answered in time, in parts per million.
	Promise int64
	// MinServing is the number of serving VMs below which the availability target cannot be met.
	MinServing int
	// Size is the target number of VMs including the pool's buffer; zero lets the planner choose it.
	Size int
	// Spare marks the pool from which other pools borrow VMs.
	Spare bool
	// WaveSize is the maximum number of the pool's VMs in maintenance at once.
	WaveSize int
}

// Service configures a service and the request kinds that it handles.
type Service struct {
	ID    ServiceID
	Team  TeamID
	Pool  PoolID
	Kinds []Kind
}

// Kind configures one request kind of a service.
type Kind struct {
	ID KindID
	// Urgency is the priority of the kind; zero is the most urgent.
	Urgency int
	// FloorShare is the share of the pool's slots reserved for the kind, in thousandths.
	FloorShare int
	// Deadline is the longest time that a caller waits for an answer.
	Deadline Millis
	// Repeatable means that requests are idempotent: running one twice does no harm.
	Repeatable bool
	// MeanRate is the expected mean rate in thousandths of a request per second.
	MeanRate int64
}

// Team configures an owner of services and its resource quota.
type Team struct {
	ID    TeamID
	Quota Resources
}

// WithVersion returns a copy of the configuration with another version number.
func (c Config) WithVersion(version uint64) Config {
	c.Version = version
	return c
}

// Pool returns the pool with the given id and whether it is configured.
func (c Config) Pool(id PoolID) (Pool, bool) {
	for _, p := range c.Pools {
		if p.ID == id {
			return p, true
		}
	}
	return Pool{}, false
}

// Service returns the service with the given id and whether it is configured.
func (c Config) Service(id ServiceID) (Service, bool) {
	for _, s := range c.Services {
		if s.ID == id {
			return s, true
		}
	}
	return Service{}, false
}

// Kind returns the request kind with the given id and whether the service has it.
func (s Service) Kind(id KindID) (Kind, bool) {
	for _, k := range s.Kinds {
		if k.ID == id {
			return k, true
		}
	}
	return Kind{}, false
}
