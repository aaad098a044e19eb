package inflow

import (
	"container/list"

	"waxwing.example/croft"
)

// ID identifies a connection.
type ID uint64

// phase is what a connection is doing.
type phase int

const (
	// idle: a response was sent, and no further request has been received.
	idle phase = iota
	// heading: the connection is new, and its first request's headers have not been received.
	heading
	// receiving: a body is being received.
	receiving
	// waiting: a body was received whole and waits to be processed.
	waiting
	// busy: a request is being processed.
	busy
	// sending: a response is being sent.
	sending
	// trusted: the client has proved who it is, and the connection is kept.
	trusted
	phases
)

// entry is an open connection in a Table.
type entry struct {
	id    ID
	phase phase
	// element is the entry's place in the list of its phase, nil if it is busy or trusted.
	element *list.Element
	// order grows with each connection and each body.
	order uint64
	// bytes is the size of the body's buffer.
	bytes int64
	// handled is whether the handler of the request has returned, so that its body is no longer read into a buffer.
	handled bool
	// since is when the phase began.
	since croft.Millis
}

// Table keeps the open connections of a listener by phase, and decides which is dropped when there are too many or their bodies
// are too large. A request that is being processed is never dropped. Table is not safe for concurrent use.
type Table struct {
	limits  Limits
	entries map[ID]*entry
	// byPhase has the entries of each phase, the earliest first.
	byPhase [phases]list.List
	order   uint64
	bytes   int64
}

// NewTable returns a table without connections.
func NewTable(limits Limits) *Table { return &Table{limits: limits, entries: map[ID]*entry{}} }

// Connections returns the number of open connections.
func (t *Table) Connections() int { return len(t.entries) }

// Bytes returns the size of the buffers of all bodies.
func (t *Table) Bytes() int64 { return t.bytes }

// Opening is the decision about a new connection.
type Opening struct {
	// Wait is how long to wait before the connection is presented again; it has not been added then.
	Wait croft.Millis
	// Drop is the connection to close if Dropped; it is no longer in the table.
	Drop    ID
	Dropped bool
	// Refuse is the connection whose request, which waits, is to be refused if Refused.
	Refuse  ID
	Refused bool
}

// Open adds a connection. If there are too many, it removes one that has had time to make progress: the one that has been idle the
// longest, else the oldest whose headers or body are not complete, else the oldest whose response is not read. If there is none,
// the oldest request that waits is to be refused, after which its connection is idle. Until then, the new connection has to wait.
func (t *Table) Open(id ID, at croft.Millis) Opening {
	var opening Opening
	if len(t.entries) >= t.limits.Connections {
		victim, wait := t.leastUseful(at)
		if victim == nil {
			opening.Wait = wait
			if e := t.first(waiting); e != nil && at-e.since >= minStalled {
				t.enter(e, busy)
				opening.Refuse, opening.Refused = e.id, true
			}
			return opening
		}
		t.remove(victim)
		opening = Opening{Drop: victim.id, Dropped: true}
	}
	e := &entry{id: id, order: t.nextOrder(), since: at}
	t.entries[id] = e
	t.enter(e, heading)
	return opening
}

// leastUseful returns the connection to close in favour of a new one, or nil and how long to wait for one.
func (t *Table) leastUseful(at croft.Millis) (*entry, croft.Millis) {
	unfinished := t.first(heading)
	if body := t.first(receiving); unfinished == nil || (body != nil && body.order < unfinished.order) {
		unfinished = body
	}
	wait := maxWait
	for _, candidate := range []struct {
		e      *entry
		minAge croft.Millis
	}{{t.first(idle), minUnfinished}, {unfinished, minUnfinished}, {t.first(sending), minStalled}} {
		if candidate.e == nil {
			continue
		}
		age := at - candidate.e.since
		if age >= candidate.minAge {
			return candidate.e, 0
		}
		wait = min(wait, candidate.minAge-age)
	}
	return nil, wait
}

// Begin records that the headers of a request have been received, and whether its handler reads a body, without which the request
// is complete. It returns false if the connection was dropped.
func (t *Table) Begin(id ID, readsBody bool, at croft.Millis) bool {
	e, ok := t.entries[id]
	if !ok {
		return false
	}
	e.since, e.handled = at, false
	if readsBody {
		e.order = t.nextOrder()
		t.enter(e, receiving)
	} else {
		t.enter(e, busy)
	}
	return true
}

// Drops are the bodies that were dropped.
type Drops struct {
	// Close are the connections with incomplete bodies. They are no longer in the table.
	Close []ID
	// Refuse are the connections with complete bodies that waited; their requests are to be refused.
	Refuse []ID
}

// Receive records that the buffer of a body grows by a number of bytes, and returns what is dropped for it: the oldest incomplete
// bodies, then the largest that wait to be processed. A body that is alone is not limited. ok is false if the body itself
// was dropped, now or before.
func (t *Table) Receive(id ID, bytes int64) (drops Drops, ok bool) {
	e, ok := t.entries[id]
	if !ok {
		return Drops{}, false
	}
	t.add(e, bytes)
	for t.bytes > t.limits.ReceivedBytes && t.bytes > e.bytes {
		victim, other := t.firstWithBytes(receiving), t.largest(waiting)
		if other != nil && (victim == nil || victim == e) {
			t.add(other, -other.bytes)
			t.enter(other, busy)
			drops.Refuse = append(drops.Refuse, other.id)
			continue
		}
		if victim == nil {
			break
		}
		t.remove(victim)
		drops.Close = append(drops.Close, victim.id)
		if victim == e {
			return drops, false
		}
	}
	return drops, true
}

// Wait records that a request has been received whole and waits to be processed; it returns false if it was dropped.
func (t *Table) Wait(id ID, at croft.Millis) bool {
	e, ok := t.entries[id]
	if ok {
		e.since = at
		t.enter(e, waiting)
	}
	return ok
}

// Trust records that the client of a connection has proved who it is, so that the connection is no longer closed for others; it
// returns false if the connection was dropped.
func (t *Table) Trust(id ID) bool {
	e, ok := t.entries[id]
	if ok {
		t.enter(e, trusted)
	}
	return ok
}

// DropStalled removes the connection whose client has not read its response for the longest time, and returns it; ok is false if
// all clients read.
func (t *Table) DropStalled(at croft.Millis) (id ID, ok bool) {
	e := t.first(sending)
	if e == nil || at-e.since < minStalled {
		return 0, false
	}
	t.remove(e)
	return e.id, true
}

// Process records that a body is being processed, and that its buffer counts as such from now on; it returns false if the body
// was dropped.
func (t *Table) Process(id ID) bool {
	e, ok := t.entries[id]
	if ok {
		t.add(e, -e.bytes)
		t.enter(e, busy)
	}
	return ok
}

// Handled records that the handler of a request has returned, and whether the request has a body that its handler does not read.
// The server reads what is left of a body before it responds; a connection whose client holds it back may be dropped meanwhile.
func (t *Table) Handled(id ID, ignoredBody bool, at croft.Millis) {
	e, ok := t.entries[id]
	if !ok {
		return
	}
	e.handled = true
	t.add(e, -e.bytes)
	if ignoredBody {
		e.since, e.order = at, t.nextOrder()
		t.enter(e, receiving)
	}
}

// Send records that a part of a response begins to be sent. Data that is sent before a request is no response. A body that the handler
// still receives stays so: the server sends the interim response 100 (Continue) before it reads such a body, whose buffer counts all the
// same.
func (t *Table) Send(id ID, at croft.Millis) {
	e, ok := t.entries[id]
	if ok && e.phase != heading && e.phase != trusted && (e.phase != receiving || e.handled) {
		e.since = at
		t.add(e, -e.bytes)
		t.enter(e, sending)
	}
}

// Idle records that a response has been sent.
func (t *Table) Idle(id ID, at croft.Millis) {
	if e, ok := t.entries[id]; ok {
		e.since = at
		t.add(e, -e.bytes)
		t.enter(e, idle)
	}
}

// Close removes a connection.
func (t *Table) Close(id ID) {
	if e, ok := t.entries[id]; ok {
		t.remove(e)
	}
}

// TimedOut returns the limit that a connection exceeded if a read from it timed out, empty if it waited for nothing.
func (t *Table) TimedOut(id ID) Reason {
	e, ok := t.entries[id]
	if !ok {
		return ""
	}
	switch e.phase {
	case idle:
		return ReasonIdleTime
	case heading:
		return ReasonHeaderTime
	case receiving:
		return ReasonBodyTime
	default:
		return ""
	}
}

func (t *Table) nextOrder() uint64 {
	t.order++
	return t.order
}

// first returns the earliest entry of a phase, nil if there is none.
func (t *Table) first(p phase) *entry {
	if front := t.byPhase[p].Front(); front != nil {
		return front.Value.(*entry)
	}
	return nil
}

// firstWithBytes returns the earliest entry of a phase whose body has a buffer, nil if there is none.
func (t *Table) firstWithBytes(p phase) *entry {
	for element := t.byPhase[p].Front(); element != nil; element = element.Next() {
		if e := element.Value.(*entry); e.bytes > 0 {
			return e
		}
	}
	return nil
}

// largest returns the entry of a phase with the largest body, the earliest of several; nil if there is none.
func (t *Table) largest(p phase) *entry {
	var found *entry
	for element := t.byPhase[p].Front(); element != nil; element = element.Next() {
		if e := element.Value.(*entry); found == nil || e.bytes > found.bytes {
			found = e
		}
	}
	return found
}

// enter moves an entry to the end of a phase's list. Busy and trusted entries are in no list, since none of them is ever chosen.
func (t *Table) enter(e *entry, p phase) {
	t.leave(e)
	e.phase = p
	if p != busy && p != trusted {
		e.element = t.byPhase[p].PushBack(e)
	}
}

// leave takes an entry out of its phase's list.
func (t *Table) leave(e *entry) {
	if e.element != nil {
		t.byPhase[e.phase].Remove(e.element)
		e.element = nil
	}
}

func (t *Table) add(e *entry, bytes int64) {
	e.bytes += bytes
	t.bytes += bytes
}

func (t *Table) remove(e *entry) {
	t.add(e, -e.bytes)
	t.leave(e)
	delete(t.entries, e.id)
}
