package croft

// Identifiers; each is unique within its kind and fits a URL path segment.
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
	// TeamID names a team that owns services and has quotas.
	TeamID string
	// EntryID names one run of an entry VM's daemon; a replaced entry has a new one.
	EntryID string
	// JobID names a job of a service.
	JobID string
)

// Class is one kind of request of one service, the unit of admission.
type Class struct {
	Service ServiceID
	Kind    KindID
}

// String returns the class as Service/Kind.
func (c Class) String() string { return string(c.Service) + "/" + string(c.Kind) }
