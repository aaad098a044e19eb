package pools

import (
	"encoding/json"
	"strings"

	"waxwing.example/croft"
	"waxwing.example/croft/keyed"
	"waxwing.example/croft/lease"
)

// Durations of moves and drains in milliseconds.
const (
	// MinDrainTime is the minimum time from the platform's acceptance of a drain to the reboot order, so that requests can finish.
	MinDrainTime = 2 * croft.Second
	// AcceptedResendAfter is how long after the last send an accepted order, such as a reboot that does not show in the VM
	// list, is sent again.
	AcceptedResendAfter = croft.Minute
	// RestartGrace is how long a VM may be failed or unlisted after its reboot was accepted.
	RestartGrace = 5 * croft.Minute
	// UndoAfter is how long a phase of a move or maintenance may last before the change is undone. It also bounds how long a
	// cancelled drain waits for the platform to accept the resume.
	UndoAfter = 20 * croft.Minute

	scanInterval      = 2 * croft.Second
	stepInterval      = croft.Second / 4
	commitResendAfter = 6 * croft.Second
	orderResendAfter  = 5 * croft.Second
	// unconfirmedNoticeTime is how long a leaving notice that may be older than the VM's resume keeps the VM unusable.
	unconfirmedNoticeTime = 10 * croft.Second
	// maxBatchRows is the most member rows of one transaction that assigns VMs or records restarts.
	maxBatchRows = 50
)

// VersionedMember is a member row as last read, with its version.
type VersionedMember struct {
	croft.Member
	// Version is the row's version in the table.
	Version uint64
}

// State holds what one entry knows about VMs, their pools and their endpoints.
type State struct {
	vms         keyed.Map[croft.VMID, croft.VM]
	listVersion uint64
	members     keyed.Map[croft.VMID, VersionedMember]
	notices     keyed.Map[croft.VMID, LeavingNotice]
	pools       keyed.Map[croft.PoolID, poolIndex]
	// active are the VMs that are draining, in phase Away, or serving with a maintenance requested.
	active keyed.Map[croft.VMID, struct{}]
	// unassigned are the listed VMs without a member row.
	unassigned keyed.Map[croft.VMID, struct{}]
	writes     keyed.Map[string, write]
	// busy has the token of the unfinished write of a VM's row.
	busy   keyed.Map[croft.VMID, string]
	orders keyed.Map[croft.VMID, order]
	// dirty are the pools to recount at the end of the event.
	dirty keyed.Map[croft.PoolID, struct{}]
	// loaded says that all member rows were read once.
	loaded bool
	// lastScanVersion is the newest row version when the last scan ended.
	lastScanVersion uint64
	// previousScanVersion is the same for the scan before the last one; the next scan starts there.
	previousScanVersion uint64
	lastScan            croft.Millis
	lastStep            croft.Millis
	// serial numbers the tokens of writes and orders.
	serial uint64
	// unrecordedRestarts are the serving VMs whose row names an older boot than the list.
	unrecordedRestarts keyed.Map[croft.VMID, struct{}]
	// timedNotices are the VMs whose leaving notice has a limited duration.
	timedNotices keyed.Map[croft.VMID, struct{}]
	// changes counts the events that changed a pool.
	changes uint64
	// failures counts the VMs whose status changed to failed.
	failures int
	// listOnly selects the baseline in which only the VM list decides whether a VM is usable.
	listOnly bool
}

// poolIndex holds the VMs, the endpoints and the counts of one pool.
type poolIndex struct {
	vms         keyed.Map[croft.VMID, struct{}]
	endpoints   []croft.Endpoint
	draining    int
	away        int
	moving      int
	maintaining int
	failed      int
	// incoming counts the VMs of other pools that are moving here.
	incoming int
	// arrived counts the moves into the pool that ended since the entry started.
	arrived int64
	// changes is the value of State.changes at the last recount of the pool.
	changes uint64
}

// write is an unfinished commit of member rows.
type write struct {
	rows []croft.Member
	ops  []croft.Op
	// commandToken is the token of the operator's command, empty for a planner's step.
	commandToken string
	sent         croft.Millis
	// resends counts how often the commit was sent again.
	resends  int
	decision croft.Decision
}

// order is the last order sent to the platform for a VM.
type order struct {
	token string
	epoch uint64
	boot  uint64
	verb  croft.VMVerb
	sent  croft.Millis
	// accepted is when the platform accepted the order, zero before.
	accepted croft.Millis
}

// New returns the state of an entry that has read nothing.
func New() State { return State{} }

// WithListOnly selects the baseline in which only the VM list, not rows and leaving notices, says which VMs are leaving.
func (s State) WithListOnly(selected bool) State {
	s.listOnly = selected
	return s
}

// Member returns the known member row of a VM and whether there is one.
func (s State) Member(id croft.VMID) (VersionedMember, bool) { return s.members.Get(id) }

// VM returns the VM as listed and whether it is in the list.
func (s State) VM(id croft.VMID) (croft.VM, bool) { return s.vms.Get(id) }

// Members returns the known member rows in the order of the VMs.
func (s State) Members() keyed.Map[croft.VMID, VersionedMember] { return s.members }

// VMs returns the VM list in the order of the VMs.
func (s State) VMs() keyed.Map[croft.VMID, croft.VM] { return s.vms }

// PoolVMs returns the VMs that belong to a pool.
func (s State) PoolVMs(pool croft.PoolID) keyed.Map[croft.VMID, struct{}] {
	index, _ := s.pools.Get(pool)
	return index.vms
}

// Active returns the VMs that are draining, in phase Away, or serving with a maintenance requested by an operator.
func (s State) Active() keyed.Map[croft.VMID, struct{}] { return s.active }

// Loaded reports whether the VM list and all member rows have been read at least once.
func (s State) Loaded() bool { return s.loaded && s.listVersion > 0 }

// EndpointChanges returns a count that grows with each event that may change the result of Endpoints.
func (s State) EndpointChanges() uint64 { return s.changes }

// Endpoints returns the endpoints that may receive work, by pool.
func (s State) Endpoints() map[croft.PoolID][]croft.Endpoint {
	all := make(map[croft.PoolID][]croft.Endpoint, s.pools.Len())
	for id, index := range s.pools.All() {
		all[id] = index.endpoints
	}
	return all
}

// Summary counts one pool's VMs.
type Summary struct {
	Pool croft.PoolID
	// Members counts the VMs that belong to the pool in any phase.
	Members int
	// Usable counts the VMs that may receive work.
	Usable   int
	Draining int
	Away     int
	// Moving counts the VMs that are leaving for another pool.
	Moving int
	// Maintaining counts the VMs in maintenance.
	Maintaining int
	// Failed counts the VMs that are not listed or not listed as live.
	Failed int
	// Incoming counts the VMs of other pools that are moving here.
	Incoming int
	// Arrived counts the moves into the pool that ended since the entry started.
	Arrived int64
}

// PoolChanges returns a count that grows whenever the member row, the list entry or the leaving notice of one of the
// pool's VMs changes.
func (s State) PoolChanges(pool croft.PoolID) uint64 {
	index, _ := s.pools.Get(pool)
	return index.changes
}

// Summary returns the counts of one pool.
func (s State) Summary(pool croft.PoolID) Summary {
	index, _ := s.pools.Get(pool)
	return Summary{
		Pool:        pool,
		Members:     index.vms.Len(),
		Usable:      len(index.endpoints),
		Draining:    index.draining,
		Away:        index.away,
		Moving:      index.moving,
		Maintaining: index.maintaining,
		Failed:      index.failed,
		Incoming:    index.incoming,
		Arrived:     index.arrived,
	}
}

// Usable reports whether a VM may receive work: it is listed as live, its member row is serving and names its current
// boot, and no leaving notice applies. The check of the boot keeps an entry with an outdated row from using a VM that was
// moved and restarted since. In the list-only baseline, neither the row's phase nor leaving notices count.
func (s State) Usable(id croft.VMID, now croft.Millis) bool {
	v, ok := s.vms.Get(id)
	if !ok || v.Status != croft.VMLive {
		return false
	}
	m, ok := s.members.Get(id)
	if ok && s.listOnly {
		return m.Boot == v.Boot
	}
	if !ok || m.Phase != croft.PhaseServing || m.Boot != v.Boot {
		return false
	}
	notice, ok := s.notices.Get(id)
	return !ok || !notice.appliesTo(v.Boot, now)
}

func decodeMember(r croft.Row) (croft.Member, bool) {
	var m croft.Member
	if json.Unmarshal(r.Value, &m) != nil || string(m.VM) != strings.TrimPrefix(r.Key, croft.MemberPrefix) {
		return croft.Member{}, false
	}
	return m, true
}

func encode(m croft.Member) []byte {
	body, err := json.Marshal(m)
	if err != nil {
		// Unreachable: a struct of strings and numbers always encodes.
		panic(err)
	}
	return body
}

// Inputs holds what Reduce and BeginDrains need from other packages.
type Inputs struct {
	Self   croft.Peer
	Config croft.Config
	Lease  lease.State
	// PlatformReachable says that the platform answered recently.
	PlatformReachable bool
	// Load counts the tasks still placed on a VM; nil counts none.
	Load TaskCounter
}

// TaskCounter returns how many tasks are placed on a VM.
type TaskCounter interface{ Tasks(id croft.VMID) int }

// plansFor reports whether this entry is the pool's planner, that is, holds the pool's lease.
func (in Inputs) plansFor(pool croft.PoolID, now croft.Millis) bool {
	return in.Lease.Holds(in.Self.ID, pool, now)
}

// Rows returns the known member rows in their stored form.
func (s State) Rows() []croft.Row {
	rows := make([]croft.Row, 0, s.members.Len())
	for id, m := range s.members.All() {
		rows = append(rows, croft.Row{Key: croft.MemberKey(id), Version: m.Version, Value: encode(m.Member)})
	}
	return rows
}
