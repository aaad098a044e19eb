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

// PoolView is one pool as an operator sees it.
type PoolView struct {
	pools.Summary
	// Target is the VMs the pool should hold, its buffer included.
	Target int
	// Holder is the entry that plans for the pool, empty for none.
	Holder croft.EntryID
	// Epoch counts the takeovers of the pool.
	Epoch       uint64
	Maintenance maint.Progress
}

// Endpoints returns the executors that may be given work, by pool.
func (s State) Endpoints() map[croft.PoolID][]croft.Endpoint { return s.pools.Endpoints() }

// EndpointChanges returns a count that grows whenever Endpoints would return something else.
func (s State) EndpointChanges() uint64 { return s.pools.Changes() }

// Members returns the known member rows in the order of the VMs.
func (s State) Members() keyed.Map[croft.VMID, pools.VersionedMember] { return s.pools.Members() }

// VMs returns the VM list in the order of the VMs.
func (s State) VMs() keyed.Map[croft.VMID, croft.VM] { return s.pools.VMs() }

// Jobs returns the known job rows in the order of their names.
func (s State) Jobs() keyed.Map[croft.JobID, place.VersionedJob] { return s.place.Jobs() }

// Plan returns the plan known for a pool and whether there is one.
func (s State) Plan(pool croft.PoolID) (lease.Plan, bool) { return s.lease.Plan(pool) }

// Holds reports whether this entry may plan for a pool at an instant of its clock.
func (s State) Holds(self croft.EntryID, pool croft.PoolID, now croft.Millis) bool {
	return s.lease.Holds(self, pool, now)
}

// Loaded reports whether the VM list and the member rows were read whole once.
func (s State) Loaded() bool { return s.pools.Loaded() }

// Pool returns one declared pool as an operator sees it.
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

// MemberRows returns the known member rows as they stand in the table.
func (s State) MemberRows() []croft.Row { return s.pools.Rows() }

// JobVMs returns the VMs with jobs of the pools that an entry plans for at an instant.
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
