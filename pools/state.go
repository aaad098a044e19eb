package pools

import (
	"encoding/json"
	"strings"

	"waxwing.example/croft"
	"waxwing.example/croft/keyed"
	"waxwing.example/croft/lease"
)

// Spans of moves and drains in milliseconds.
const (
	// DrainSpan is how long a drained VM is given to finish what it has before its reboot is ordered.
	DrainSpan = 2 * croft.Second
	// RebootWithin is when a reboot that did not show in the list is ordered again.
	RebootWithin = croft.Minute
	// RestartGrace is how long a VM whose restart was ordered may be gone from the list.
	RestartGrace = 5 * croft.Minute
	// UndoAfter is when a move or maintenance that has not ended is undone.
	UndoAfter = 20 * croft.Minute

	scanEvery   = 2 * croft.Second
	stepEvery   = croft.Second / 4
	writeWithin = 6 * croft.Second
	orderWithin = 5 * croft.Second
	// hintSpan is how long a leaving mark without proof keeps a resumed VM out.
	hintSpan = 10 * croft.Second
	// adoptBatch is the most VMs given their first row in one transaction.
	adoptBatch = 50
)

// Known is a member row as last seen.
type Known struct {
	croft.Member
	// Version is the row's version in the table.
	Version uint64
}

// State is what one entry knows of VMs, their pools and their endpoints.
type State struct {
	vms      keyed.Map[croft.VMID, croft.VM]
	listed   uint64
	members  keyed.Map[croft.VMID, Known]
	marks    keyed.Map[croft.VMID, Mark]
	index    keyed.Map[croft.PoolID, group]
	active   keyed.Map[croft.VMID, struct{}]
	fresh    keyed.Map[croft.VMID, struct{}]
	writes   keyed.Map[string, write]
	busy     keyed.Map[croft.VMID, string]
	orders   keyed.Map[croft.VMID, order]
	dirty    keyed.Map[croft.PoolID, struct{}]
	loaded   bool
	cursor   uint64
	previous uint64
	scanned  croft.Millis
	stepped  croft.Millis
	serial   uint64
	// unconfirmed are the serving VMs whose row names an older boot.
	unconfirmed keyed.Map[croft.VMID, struct{}]
	// hints are the VMs kept out for a while only.
	hints keyed.Map[croft.VMID, struct{}]
	// changes counts what a view of the endpoints depends on.
	changes uint64
	failed  int
	// listOnly selects the baseline that believes only the VM list.
	listOnly bool
}

// group is the index of one pool.
type group struct {
	vms       keyed.Map[croft.VMID, struct{}]
	endpoints []croft.Endpoint
	draining  int
	away      int
	moving    int
	maintain  int
	failed    int
	// incoming counts the VMs of other pools that move here.
	incoming int
	// arrived counts the moves that ended here since the start of the entry.
	arrived int64
	// counted is the state's count of changes when the pool was last counted.
	counted uint64
}

// write is a commit of member rows in flight.
type write struct {
	rows []croft.Member
	ops  []croft.Op
	// asked is the token of the operator's command, empty for a planner's step.
	asked    string
	sent     croft.Millis
	tries    int
	decision croft.Decision
}

// order is what the platform was last asked to do with a VM.
type order struct {
	token string
	epoch uint64
	boot  uint64
	verb  croft.VMVerb
	sent  croft.Millis
	// taken is when the platform took the order, zero before.
	taken croft.Millis
}

// New returns the state of an entry that has read nothing.
func New() State { return State{} }

// WithListOnly returns the state with the baseline selected that believes only the VM list of leaving VMs.
func (s State) WithListOnly(selected bool) State {
	s.listOnly = selected
	return s
}

// Member returns the known member row of a VM and whether there is one.
func (s State) Member(id croft.VMID) (Known, bool) { return s.members.Get(id) }

// VM returns the VM as listed and whether it is in the list.
func (s State) VM(id croft.VMID) (croft.VM, bool) { return s.vms.Get(id) }

// Members returns the known member rows in the order of the VMs.
func (s State) Members() keyed.Map[croft.VMID, Known] { return s.members }

// VMs returns the VM list in the order of the VMs.
func (s State) VMs() keyed.Map[croft.VMID, croft.VM] { return s.vms }

// PoolVMs returns the VMs that belong to a pool.
func (s State) PoolVMs(pool croft.PoolID) keyed.Map[croft.VMID, struct{}] {
	g, _ := s.index.Get(pool)
	return g.vms
}

// Active returns the VMs that are draining or away.
func (s State) Active() keyed.Map[croft.VMID, struct{}] { return s.active }

// Loaded reports whether both the VM list and the member rows were read whole once.
func (s State) Loaded() bool { return s.loaded && s.listed > 0 }

// Changes returns a count that grows whenever Endpoints would return something else.
func (s State) Changes() uint64 { return s.changes }

// Endpoints returns the executors that may be given work, by pool.
func (s State) Endpoints() map[croft.PoolID][]croft.Endpoint {
	all := make(map[croft.PoolID][]croft.Endpoint, s.index.Len())
	for id, g := range s.index.All() {
		all[id] = g.endpoints
	}
	return all
}

// Summary counts one pool's VMs.
type Summary struct {
	Pool croft.PoolID
	// Members counts the VMs that belong to the pool in any phase.
	Members int
	// Usable counts the VMs that may be given work.
	Usable   int
	Draining int
	Away     int
	// Moving counts the VMs that are leaving for another pool.
	Moving int
	// Maintaining counts the VMs in maintenance.
	Maintaining int
	// Failed counts the VMs that the list says failed, left, or does not name.
	Failed int
	// Incoming counts the VMs of other pools that move here.
	Incoming int
	// Arrived counts the moves that ended here since the start of the entry.
	Arrived int64
}

// PoolChanges returns a count that grows whenever a row, a list line or a mark of one of the pool's VMs changes.
func (s State) PoolChanges(pool croft.PoolID) uint64 {
	g, _ := s.index.Get(pool)
	return g.counted
}

// Summary returns the counts of one pool.
func (s State) Summary(pool croft.PoolID) Summary {
	g, _ := s.index.Get(pool)
	return Summary{
		Pool:        pool,
		Members:     g.vms.Len(),
		Usable:      len(g.endpoints),
		Draining:    g.draining,
		Away:        g.away,
		Moving:      g.moving,
		Maintaining: g.maintain,
		Failed:      g.failed,
		Incoming:    g.incoming,
		Arrived:     g.arrived,
	}
}

// Usable reports whether a VM may be given work: live in the list, serving in a pool by a row that names its boot, and not marked
// as leaving; the boot keeps an entry with an old row from using a VM that was moved and restarted since.
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
	k, ok := s.marks.Get(id)
	return !ok || !k.holds(v.Boot, now)
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
		// A plain struct of strings and numbers always encodes.
		panic(err)
	}
	return body
}

// Inputs are what the decisions about pools read from other parts.
type Inputs struct {
	Self   croft.Peer
	Config croft.Config
	Lease  lease.State
	// Reachable says that the platform answered lately.
	Reachable bool
	// Load tells what still runs on a VM.
	Load Load
}

// Load tells how many tasks are placed on a VM.
type Load interface{ Tasks(id croft.VMID) int }

func (in Inputs) holds(pool croft.PoolID, now croft.Millis) bool {
	return in.Lease.Holds(in.Self.ID, pool, now)
}

// Rows returns the known member rows as they stand in the table.
func (s State) Rows() []croft.Row {
	rows := make([]croft.Row, 0, s.members.Len())
	for id, k := range s.members.All() {
		rows = append(rows, croft.Row{Key: croft.MemberKey(id), Version: k.Version, Value: encode(k.Member)})
	}
	return rows
}
