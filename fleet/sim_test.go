package fleet

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"

	"waxwing.example/croft"
	"waxwing.example/croft/keyed"
)

// world simulates the table, the platform's VM list and some entries on one virtual clock, and checks the invariants at
// each write.
type world struct {
	rnd *rand.Rand
	now croft.Millis
	// seq is the last number given to a scheduled event or a command; events due at the same time run in this order.
	seq     int
	events  eventQueue
	config  croft.Config
	entries []*simEntry
	// rows are the rows of the table; version is the table's version, which each transaction raises by one.
	rows    map[string]croft.Row
	version uint64
	// writeLog holds the writes of each kind of row in the order of their versions.
	writeLog map[string][]loggedWrite
	// snapshots are up to four earlier copies of the rows, the oldest first, for stale reads.
	snapshots []map[string]croft.Row
	vms       map[croft.VMID]croft.VM
	// changes are all changes of the VM list in order; the list's version is their number.
	changes []croft.VM
	// vmIDs lists the VMs in the order of their creation, for deterministic draws.
	vmIDs []croft.VMID
	// members are the newest member rows by pool.
	members    map[croft.PoolID]map[croft.VMID]croft.Member
	faultRates faultRates
	// usedPools holds the pool in which entries used each incarnation of a VM.
	usedPools map[incarnation]croft.PoolID
	// violations describes the violations of invariants.
	violations []string
	// accepted and refused count the answers to commands; answered counts them by token.
	accepted, refused int
	answered          map[string]int
	// decisions counts the log lines by action.
	decisions    map[string]int
	tickInterval croft.Millis
	// workers runs tasks on the VMs, nil in tests without jobs.
	workers *workerSim
}

// loggedWrite is the write of one row.
type loggedWrite struct {
	version uint64
	key     string
}

// incarnation is one boot of a VM.
type incarnation struct {
	vm   croft.VMID
	boot uint64
}

// faultRates are probabilities of faults, in thousandths.
type faultRates struct {
	lostAnswer, unavailable, staleRead, orderFailure int
}

// simEntry is a simulated entry.
type simEntry struct {
	peer  croft.Peer
	state State
	// pausedUntil is when a paused entry resumes.
	pausedUntil croft.Millis
	dead        bool
	// endpointChanges is the result of the state's EndpointChanges at the last check of the endpoints.
	endpointChanges uint64
	// endpoints are the endpoints of each pool when they were last checked.
	endpoints map[croft.PoolID][]croft.Endpoint
	// listVersion is the version of the VM list that the entry has; polling says that a poll is under way.
	listVersion uint64
	polling     bool
}

// scheduledEvent is a call that is due at a time of the virtual clock.
type scheduledEvent struct {
	at  croft.Millis
	seq int
	run func()
}

// eventQueue is a heap of scheduled events, by time and then by sequence number.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newWorld(seed uint64, config croft.Config, vms []croft.VM, entries int, options Options) *world {
	w := &world{
		rnd:          rand.New(rand.NewPCG(seed, 1)),
		now:          1_000_000,
		config:       config,
		rows:         map[string]croft.Row{},
		vms:          map[croft.VMID]croft.VM{},
		members:      map[croft.PoolID]map[croft.VMID]croft.Member{},
		usedPools:    map[incarnation]croft.PoolID{},
		writeLog:     map[string][]loggedWrite{},
		answered:     map[string]int{},
		decisions:    map[string]int{},
		tickInterval: 500,
	}
	for _, v := range vms {
		w.vmIDs = append(w.vmIDs, v.ID)
		w.setVM(v)
	}
	for i := range entries {
		w.addEntry(croft.EntryID(fmt.Sprintf("e%d", i)), options)
	}
	return w
}

// addEntry starts a new entry, which ticks from then on.
func (w *world) addEntry(id croft.EntryID, options Options) *simEntry {
	n := &simEntry{peer: croft.Peer{ID: id, DataCentre: "dc1"}, state: New(options), endpoints: map[croft.PoolID][]croft.Endpoint{}}
	w.entries = append(w.entries, n)
	w.after(croft.Millis(w.rnd.IntN(500)), func() { w.tick(n) })
	return n
}

// after schedules a call after a delay on the virtual clock.
func (w *world) after(delay croft.Millis, run func()) {
	w.seq++
	heap.Push(&w.events, scheduledEvent{at: w.now + delay, seq: w.seq, run: run})
}

// run advances the virtual clock by a duration and runs the events that fall due.
func (w *world) run(duration croft.Millis) {
	end := w.now + duration
	for len(w.events) > 0 && w.events[0].at <= end {
		next := heap.Pop(&w.events).(scheduledEvent)
		w.now = next.at
		next.run()
	}
	w.now = end
}

// happens draws whether a fault with the given probability, in thousandths, occurs.
func (w *world) happens(perThousand int) bool { return w.rnd.IntN(1000) < perThousand }

// latency draws how long a request or an answer travels over the network.
func (w *world) latency() croft.Millis { return croft.Millis(1 + w.rnd.IntN(60)) }

// alive returns the entries that are not dead; all entries agree on them.
func (w *world) alive() []croft.Peer {
	var peers []croft.Peer
	for _, n := range w.entries {
		if !n.dead {
			peers = append(peers, n.peer)
		}
	}
	return peers
}

// tick delivers a tick, polls the VM list about once a second and schedules the next tick.
func (w *world) tick(n *simEntry) {
	if n.dead {
		return
	}
	w.deliver(n, croft.Tick{At: croft.At{Time: w.now}, Seed: w.rnd.Uint64()})
	if w.now%1000 < w.tickInterval {
		w.pollVMs(n)
	}
	w.after(w.tickInterval, func() { w.tick(n) })
}

// pollVMs delivers the changes of the VM list since the entry's last poll, after a random delay.
func (w *world) pollVMs(n *simEntry) {
	version := uint64(len(w.changes))
	if n.listVersion == version || n.polling {
		return
	}
	delta := croft.VMDelta{Version: version, Whole: n.listVersion == 0}
	seen := map[croft.VMID]bool{}
	for i := len(w.changes) - 1; i >= int(n.listVersion); i-- {
		if v := w.changes[i]; !seen[v.ID] {
			seen[v.ID] = true
			delta.Changed = append(delta.Changed, v)
		}
	}
	n.polling = true
	w.after(croft.Millis(w.rnd.IntN(3000)), func() {
		n.polling = false
		n.listVersion = version
		w.deliver(n, croft.VMsListed{At: croft.At{Time: w.now}, Delta: delta})
	})
}

// deliver reduces an event at an entry and executes the effects; an event for a paused entry waits until it resumes.
func (w *world) deliver(n *simEntry, e croft.Event) {
	if n.dead {
		return
	}
	if w.now < n.pausedUntil {
		w.after(n.pausedUntil-w.now, func() { w.deliver(n, e) })
		return
	}
	var effects []croft.Effect
	n.state, effects = Reduce(n.state, e, Inputs{
		Self: n.peer, Config: w.config, Entries: w.alive(), PlatformReachable: true,
	})
	if c := n.state.EndpointChanges(); c != n.endpointChanges {
		n.endpointChanges = c
		w.recordUsedPools(n)
	}
	for _, f := range effects {
		w.execute(n, f)
	}
}

// recordUsedPools records in which pool the entry uses each incarnation of a VM. If any entry has used the same
// incarnation in another pool, that is a violation.
func (w *world) recordUsedPools(n *simEntry) {
	for pool, endpoints := range n.state.Endpoints() {
		previous := n.endpoints[pool]
		// The same slice as at the last check means that no endpoint of this pool has changed.
		if len(endpoints) == 0 || (len(previous) == len(endpoints) && &previous[0] == &endpoints[0]) {
			continue
		}
		n.endpoints[pool] = endpoints
		for _, p := range endpoints {
			k := incarnation{vm: p.VM, boot: p.Boot}
			if earlierPool, ok := w.usedPools[k]; ok && earlierPool != pool {
				w.addViolation("%s uses %s boot %d in %s, it was used in %s", n.peer.ID, p.VM, p.Boot, pool, earlierPool)
			}
			w.usedPools[k] = pool
		}
	}
}

func (w *world) addViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%d: ", w.now)+fmt.Sprintf(format, args...))
}

// execute carries out an effect of an entry after a random latency.
func (w *world) execute(n *simEntry, f croft.Effect) {
	switch f := f.(type) {
	case croft.Commit:
		knownVMs := n.state.VMs()
		w.after(w.latency(), func() { w.commit(n, f, knownVMs) })
	case croft.ScanRows:
		w.after(w.latency(), func() { w.scan(n, f) })
	case croft.OrderVM:
		w.after(w.latency(), func() { w.orderVM(n, f) })
	case croft.OrderTask:
		if w.workers != nil {
			w.after(w.latency(), func() { w.orderTask(n, f) })
		}
	case croft.NotifyPeers:
		for _, o := range w.entries {
			if o != n && !o.dead {
				w.after(w.latency(), func() {
					w.deliver(o, croft.PeerMessageReceived{At: croft.At{Time: w.now}, Peer: n.peer, News: f.News})
				})
			}
		}
	case croft.Answer:
		w.answered[f.Token]++
		if f.Refused == "" {
			w.accepted++
		} else {
			w.refused++
		}
	case croft.Decision:
		w.decisions[f.Action]++
	}
}

// commit executes a transaction of an entry, under random faults, and delivers the outcome; while the entry is paused,
// the transaction waits. knownVMs is the VM list that the entry had when it requested the transaction.
func (w *world) commit(n *simEntry, c croft.Commit, knownVMs keyed.Map[croft.VMID, croft.VM]) {
	if w.now < n.pausedUntil {
		w.after(n.pausedUntil-w.now, func() { w.commit(n, c, knownVMs) })
		return
	}
	if n.dead {
		return
	}
	e := croft.CommitEnded{Token: c.Token, Outcome: croft.CommitDone}
	if w.happens(w.faultRates.unavailable) {
		e.Outcome = croft.CommitUnavailable
	} else {
		for _, o := range c.Ops {
			if r := w.rows[o.Key]; r.Version != o.Version {
				r.Key = o.Key
				e.Rows = append(e.Rows, r)
				e.Outcome = croft.CommitConflict
			}
		}
	}
	if e.Outcome == croft.CommitDone {
		w.apply(n, c, knownVMs)
		e.Version = w.version
		if w.happens(w.faultRates.lostAnswer) {
			e.Outcome = croft.CommitUnknown
			e.Version = 0
		}
	}
	w.after(w.latency(), func() {
		e.At = croft.At{Time: w.now}
		w.deliver(n, e)
	})
}

// apply writes the rows of a transaction and checks the invariants. Before every eighth transaction it keeps a snapshot
// of the rows if stale reads are to occur.
func (w *world) apply(n *simEntry, c croft.Commit, knownVMs keyed.Map[croft.VMID, croft.VM]) {
	if w.version%8 == 0 && w.faultRates.staleRead > 0 {
		copied := make(map[string]croft.Row, len(w.rows))
		for k, r := range w.rows {
			copied[k] = r
		}
		w.snapshots = append(w.snapshots, copied)
		w.snapshots = w.snapshots[max(0, len(w.snapshots)-4):]
	}
	w.version++
	for _, o := range c.Ops {
		switch o.Kind {
		case croft.OpPut:
			w.checkMemberWrite(n, w.rows[o.Key], o)
			w.rows[o.Key] = croft.Row{Key: o.Key, Version: w.version, Value: o.Value}
			k := keyKind(o.Key)
			if w.workers != nil {
				w.recordJobWrite(o)
			}
			w.writeLog[k] = append(w.writeLog[k], loggedWrite{version: w.version, key: o.Key})
		case croft.OpDelete:
			delete(w.rows, o.Key)
		}
	}
	w.checkMinServing(c, knownVMs)
}

// scan answers a scan with the newest rows or, as a fault, with stale ones.
func (w *world) scan(n *simEntry, f croft.ScanRows) {
	e := croft.RowsRead{Prefix: f.Prefix, Whole: f.Since == 0}
	if len(w.snapshots) > 0 && w.happens(w.faultRates.staleRead) {
		e.Rows = staleRows(w.snapshots[w.rnd.IntN(len(w.snapshots))], f)
	} else {
		e.Rows = w.newestRows(f)
	}
	w.after(w.latency(), func() {
		e.At = croft.At{Time: w.now}
		w.deliver(n, e)
	})
}

// newestRows returns the current rows that match a scan, in the order of their versions.
func (w *world) newestRows(f croft.ScanRows) []croft.Row {
	if r, ok := w.rows[f.Prefix]; ok && r.Version > f.Since {
		return []croft.Row{r}
	}
	var found []croft.Row
	writes := w.writeLog[keyKind(f.Prefix)]
	first := sort.Search(len(writes), func(i int) bool { return writes[i].version > f.Since })
	for _, k := range writes[first:] {
		r := w.rows[k.key]
		if r.Version == k.version && strings.HasPrefix(k.key, f.Prefix) {
			found = append(found, r)
		}
	}
	return found
}

// keyKind returns the part of a key before its first slash.
func keyKind(key string) string {
	name, _, _ := strings.Cut(key, "/")
	return name
}

// staleRows returns the rows of a snapshot that match a scan, in the order of their keys.
func staleRows(rows map[string]croft.Row, f croft.ScanRows) []croft.Row {
	var found []croft.Row
	for k, r := range rows {
		if strings.HasPrefix(k, f.Prefix) && r.Version > f.Since {
			found = append(found, r)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}

// decodeMember decodes a member row and reports whether the row is one.
func decodeMember(r croft.Row) (croft.Member, bool) {
	var m croft.Member
	ok := strings.HasPrefix(r.Key, croft.MemberPrefix) && json.Unmarshal(r.Value, &m) == nil
	return m, ok
}
