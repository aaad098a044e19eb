package fleet

import (
	"slices"

	"waxwing.example/croft"
	"waxwing.example/croft/keyed"
	"waxwing.example/croft/lease"
	"waxwing.example/croft/maint"
	"waxwing.example/croft/place"
	"waxwing.example/croft/pools"
)

// PoolView is the status of a pool for operators.
type PoolView struct {
	pools.Summary
	// Target is the number of VMs that the pool should have, including its buffer.
	Target int
	// Holder is the pool's planner, which holds the pool's lease; empty for none.
	Holder croft.EntryID
	// Epoch counts the takeovers of the pool.
	Epoch       uint64
	Maintenance maint.Progress
}

// Endpoints returns the executors to which requests may be dispatched, by pool.
func (s State) Endpoints() map[croft.PoolID][]croft.Endpoint { return s.pools.Endpoints() }

// EndpointChanges returns a count that grows with each event that may change the result of Endpoints.
func (s State) EndpointChanges() uint64 { return s.pools.EndpointChanges() }

// Members returns the known member rows by VM.
func (s State) Members() keyed.Map[croft.VMID, pools.VersionedMember] { return s.pools.Members() }

// VMs returns the VMs of the platform's VM list by ID.
func (s State) VMs() keyed.Map[croft.VMID, croft.VM] { return s.pools.VMs() }

// Jobs returns the known job rows by ID.
func (s State) Jobs() keyed.Map[croft.JobID, place.VersionedJob] { return s.place.Jobs() }

// Plan returns the plan row of a pool, which names its planner, and whether the row is known.
func (s State) Plan(pool croft.PoolID) (lease.Plan, bool) { return s.lease.Plan(pool) }

// Holds reports whether this entry holds a pool's lease at the given time, by its clock, and so may plan for the pool.
func (s State) Holds(self croft.EntryID, pool croft.PoolID, now croft.Millis) bool {
	return s.lease.Holds(self, pool, now)
}

// Loaded reports whether the VM list and the member rows have both been read completely once.
func (s State) Loaded() bool { return s.pools.Loaded() }

// Pool returns the status of a configured pool.
func (s State) Pool(id croft.PoolID, now croft.Millis) PoolView {
	plan, _ := s.lease.Plan(id)
	return PoolView{
		Summary:     s.pools.Summary(id),
		Target:      s.buffer.Target(id),
		Holder:      plan.Holder,
		Epoch:       plan.Epoch,
		Maintenance: s.maint.Progress(id, now, s.pools),
	}
}

// MemberRows returns the known member rows in their stored form.
func (s State) MemberRows() []croft.Row { return s.pools.Rows() }

// JobVMs returns the VMs that run jobs in the pools that an entry plans for at the given time, sorted by ID.
func (s State) JobVMs(self croft.EntryID, now croft.Millis) []croft.VMID {
	var vms []croft.VMID
	for _, p := range s.place.Pools() {
		if s.Holds(self, p, now) {
			vms = append(vms, s.place.PoolVMs(p)...)
		}
	}
	slices.Sort(vms)
	return slices.Compact(vms)
}
