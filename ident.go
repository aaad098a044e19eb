package croft

// Identifiers; each is unique among those of its type and valid as a URL path segment.
type (
	// VMID names a VM of the platform.
	VMID string
	// RackID names a rack, the smallest shared failure domain.
	RackID string
	// DataCentre names a data centre.
	DataCentre string
	// PoolID names a pool of VMs.
	PoolID string
	// ServiceID names a service.
	ServiceID string
	// KindID names a request kind within its service.
	KindID string
	// TeamID names a team that owns services and has a resource quota.
	TeamID string
	// EntryID names one run of the daemon on an entry VM; a replacement gets a new id.
	EntryID string
	// JobID names a job.
	JobID string
)

// Class is a request kind of a service; admission control decides by class.
type Class struct {
	Service ServiceID
	Kind    KindID
}

// String returns the class as Service/Kind.
func (c Class) String() string { return string(c.Service) + "/" + string(c.Kind) }
