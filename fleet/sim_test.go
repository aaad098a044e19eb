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

// world is a table, a VM list and some entries on one virtual clock.
type world struct {
	rnd     *rand.Rand
	now     croft.Millis
	seq     int
	queue   agenda
	config  croft.Config
	entries []*node
	rows    map[string]croft.Row
	version uint64
	// written are the keys of all writes of a kind of rows in the order of their versions.
	written map[string][]writtenKey
	// past are copies of the rows, for old reads.
	past []map[string]croft.Row
	vms  map[croft.VMID]croft.VM
	// changes are those of the VM list since its begin, one a version.
	changes []croft.VM
	order   []croft.VMID
	// members are the member rows by pool.
	members map[croft.PoolID]map[croft.VMID]croft.Member
	faults  faults
	used    map[usedKey]croft.PoolID
	broken  []string
	// answers counts commands by refused or not.
	taken, refused int
	answered       map[string]int
	decisions      map[string]int
	tickEvery      croft.Millis
	// labour runs tasks on the VMs, nil where a test places none.
	labour *labour
}

type writtenKey struct {
	version uint64
	key     string
}

type usedKey struct {
	vm   croft.VMID
	boot uint64
}

// faults are chances in a thousand.
type faults struct {
	lostAnswer, unavailable, oldRead, orderFails int
}

type node struct {
	peer   croft.Peer
	state  State
	frozen croft.Millis
	dead   bool
	views  uint64
	// seen are the endpoints of each pool at the last look.
	seen    map[croft.PoolID][]croft.Endpoint
	listed  uint64
	listing bool
}

type item struct {
	at  croft.Millis
	seq int
	run func()
}

type agenda []item

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if a[i].at != a[j].at {
		return a[i].at < a[j].at
	}
	return a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(item)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

func newWorld(seed uint64, config croft.Config, vms []croft.VM, entries int, options Options) *world {
	w := &world{
		rnd:       rand.New(rand.NewPCG(seed, 1)),
		now:       1_000_000,
		config:    config,
		rows:      map[string]croft.Row{},
		vms:       map[croft.VMID]croft.VM{},
		members:   map[croft.PoolID]map[croft.VMID]croft.Member{},
		used:      map[usedKey]croft.PoolID{},
		written:   map[string][]writtenKey{},
		answered:  map[string]int{},
		decisions: map[string]int{},
		tickEvery: 500,
	}
	for _, v := range vms {
		w.order = append(w.order, v.ID)
		w.setVM(v)
	}
	for i := range entries {
		w.add(croft.EntryID(fmt.Sprintf("e%d", i)), options)
	}
	return w
}

func (w *world) add(id croft.EntryID, options Options) *node {
	n := &node{peer: croft.Peer{ID: id, DataCentre: "dc1"}, state: New(options), seen: map[croft.PoolID][]croft.Endpoint{}}
	w.entries = append(w.entries, n)
	w.after(croft.Millis(w.rnd.IntN(500)), func() { w.tick(n) })
	return n
}

func (w *world) after(span croft.Millis, run func()) {
	w.seq++
	heap.Push(&w.queue, item{at: w.now + span, seq: w.seq, run: run})
}

// run lets the virtual time pass.
func (w *world) run(span croft.Millis) {
	end := w.now + span
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(item)
		w.now = next.at
		next.run()
	}
	w.now = end
}

func (w *world) chance(perThousand int) bool { return w.rnd.IntN(1000) < perThousand }

func (w *world) latency() croft.Millis { return croft.Millis(1 + w.rnd.IntN(60)) }

func (w *world) alive() []croft.Peer {
	var all []croft.Peer
	for _, n := range w.entries {
		if !n.dead {
			all = append(all, n.peer)
		}
	}
	return all
}

func (w *world) tick(n *node) {
	if n.dead {
		return
	}
	w.deliver(n, croft.Tick{At: croft.At{Time: w.now}, Seed: w.rnd.Uint64()})
	if w.now%1000 < w.tickEvery {
		w.list(n)
	}
	w.after(w.tickEvery, func() { w.tick(n) })
}

// list answers the entry's poll of the VM list with what has changed, late.
func (w *world) list(n *node) {
	version := uint64(len(w.changes))
	if n.listed == version || n.listing {
		return
	}
	delta := croft.VMDelta{Version: version, Whole: n.listed == 0}
	seen := map[croft.VMID]bool{}
	for i := len(w.changes) - 1; i >= int(n.listed); i-- {
		if v := w.changes[i]; !seen[v.ID] {
			seen[v.ID] = true
			delta.Changed = append(delta.Changed, v)
		}
	}
	n.listing = true
	w.after(croft.Millis(w.rnd.IntN(3000)), func() {
		n.listing = false
		n.listed = version
		w.deliver(n, croft.VMsListed{At: croft.At{Time: w.now}, Delta: delta})
	})
}

// deliver has the entry reduce an event, after its freeze where it is frozen.
func (w *world) deliver(n *node, e croft.Event) {
	if n.dead {
		return
	}
	if w.now < n.frozen {
		w.after(n.frozen-w.now, func() { w.deliver(n, e) })
		return
	}
	var effects []croft.Effect
	n.state, effects = Reduce(n.state, e, Inputs{
		Self: n.peer, Config: w.config, Entries: w.alive(), Reachable: true,
	})
	if c := n.state.EndpointChanges(); c != n.views {
		n.views = c
		w.look(n)
	}
	for _, f := range effects {
		w.do(n, f)
	}
}

// look records in which pool the entry uses each boot of a VM.
func (w *world) look(n *node) {
	for pool, all := range n.state.Endpoints() {
		old := n.seen[pool]
		if len(all) == 0 || (len(old) == len(all) && &old[0] == &all[0]) {
			continue
		}
		n.seen[pool] = all
		for _, p := range all {
			k := usedKey{vm: p.VM, boot: p.Boot}
			if old, ok := w.used[k]; ok && old != pool {
				w.fail("%s uses %s boot %d in %s, it was used in %s", n.peer.ID, p.VM, p.Boot, pool, old)
			}
			w.used[k] = pool
		}
	}
}

func (w *world) fail(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%d: ", w.now)+fmt.Sprintf(format, args...))
}

func (w *world) do(n *node, f croft.Effect) {
	switch f := f.(type) {
	case croft.Commit:
		known := n.state.VMs()
		w.after(w.latency(), func() { w.commit(n, f, known) })
	case croft.ScanRows:
		w.after(w.latency(), func() { w.scan(n, f) })
	case croft.OrderVM:
		w.after(w.latency(), func() { w.orderVM(n, f) })
	case croft.OrderTask:
		if w.labour != nil {
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
			w.taken++
		} else {
			w.refused++
		}
	case croft.Decision:
		w.decisions[f.Action]++
	}
}

// commit applies a transaction; one that a frozen entry had queued goes out when the entry goes on.
func (w *world) commit(n *node, c croft.Commit, known keyed.Map[croft.VMID, croft.VM]) {
	if w.now < n.frozen {
		w.after(n.frozen-w.now, func() { w.commit(n, c, known) })
		return
	}
	if n.dead {
		return
	}
	e := croft.CommitEnded{Token: c.Token, Outcome: croft.CommitDone}
	if w.chance(w.faults.unavailable) {
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
		w.apply(n, c, known)
		e.Version = w.version
		if w.chance(w.faults.lostAnswer) {
			e.Outcome = croft.CommitUnknown
			e.Version = 0
		}
	}
	w.after(w.latency(), func() {
		e.At = croft.At{Time: w.now}
		w.deliver(n, e)
	})
}

func (w *world) apply(n *node, c croft.Commit, known keyed.Map[croft.VMID, croft.VM]) {
	if w.version%8 == 0 && w.faults.oldRead > 0 {
		copied := make(map[string]croft.Row, len(w.rows))
		for k, r := range w.rows {
			copied[k] = r
		}
		w.past = append(w.past, copied)
		w.past = w.past[max(0, len(w.past)-4):]
	}
	w.version++
	for _, o := range c.Ops {
		switch o.Kind {
		case croft.OpPut:
			w.check(n, w.rows[o.Key], o)
			w.rows[o.Key] = croft.Row{Key: o.Key, Version: w.version, Value: o.Value}
			k := kind(o.Key)
			if w.labour != nil {
				w.learnJob(o)
			}
			w.written[k] = append(w.written[k], writtenKey{version: w.version, key: o.Key})
		case croft.OpDelete:
			delete(w.rows, o.Key)
		}
	}
	w.checkPromise(c, known)
}

func (w *world) scan(n *node, f croft.ScanRows) {
	e := croft.RowsRead{Prefix: f.Prefix, Whole: f.Since == 0}
	if len(w.past) > 0 && w.chance(w.faults.oldRead) {
		e.Rows = oldRows(w.past[w.rnd.IntN(len(w.past))], f)
	} else {
		e.Rows = w.newest(f)
	}
	w.after(w.latency(), func() {
		e.At = croft.At{Time: w.now}
		w.deliver(n, e)
	})
}

// newest returns the rows of a scan in the order of their versions.
func (w *world) newest(f croft.ScanRows) []croft.Row {
	if r, ok := w.rows[f.Prefix]; ok && r.Version > f.Since {
		return []croft.Row{r}
	}
	var found []croft.Row
	all := w.written[kind(f.Prefix)]
	first := sort.Search(len(all), func(i int) bool { return all[i].version > f.Since })
	for _, k := range all[first:] {
		r := w.rows[k.key]
		if r.Version == k.version && strings.HasPrefix(k.key, f.Prefix) {
			found = append(found, r)
		}
	}
	return found
}

// kind returns the part of a key before its first slash.
func kind(key string) string {
	name, _, _ := strings.Cut(key, "/")
	return name
}

func oldRows(rows map[string]croft.Row, f croft.ScanRows) []croft.Row {
	var found []croft.Row
	for k, r := range rows {
		if strings.HasPrefix(k, f.Prefix) && r.Version > f.Since {
			found = append(found, r)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}

func member(r croft.Row) (croft.Member, bool) {
	var m croft.Member
	ok := strings.HasPrefix(r.Key, croft.MemberPrefix) && json.Unmarshal(r.Value, &m) == nil
	return m, ok
}
