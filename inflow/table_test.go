package inflow

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"waxwing.example/croft"
)

// open opens connections and fails if one of them has to wait.
func open(t *testing.T, table *Table, at croft.Millis, ids ...ID) {
	t.Helper()
	for _, id := range ids {
		assert.Equal(t, table.Open(id, at), Opening{})
	}
}

// Guards against a crowd that keeps out the next caller, and against the end of a request that is being processed.
func TestOpenClosesTheLeastUsefulConnection(t *testing.T) {
	table := NewTable(Limits{Connections: 4})
	open(t, table, 0, 1, 2, 3, 4)
	assert.Assert(t, table.Begin(1, false, 0))
	assert.Assert(t, table.Begin(2, true, 0))
	assert.Assert(t, table.Begin(4, false, 0))
	table.Idle(4, 0)

	assert.Equal(t, table.Open(5, minUnfinished-1), Opening{Wait: 1}, "each had no time to make progress")
	at := minUnfinished
	assert.Equal(t, table.Open(5, at), Opening{Drop: 4, Dropped: true}, "the idle one")
	assert.Equal(t, table.Open(6, at), Opening{Drop: 3, Dropped: true}, "the oldest whose headers are incomplete")
	assert.Equal(t, table.Open(7, at), Opening{Drop: 2, Dropped: true}, "the oldest whose body is incomplete")
	assert.Assert(t, !table.Begin(2, false, at), "dropped before its request was complete")
	at += minUnfinished
	for _, id := range []ID{5, 6, 7} {
		assert.Assert(t, table.Begin(id, false, at))
	}
	assert.Equal(t, table.Open(8, at+croft.Hour), Opening{Wait: maxWait}, "all are being processed")
	table.Send(6, at)
	assert.Equal(t, table.Open(8, at+minStalled), Opening{Drop: 6, Dropped: true}, "the one that does not read its response")
	table.Close(1)
	assert.Equal(t, table.Open(9, at), Opening{}, "there is room")
}

// receive begins a request with a body and receives some of it.
func receive(t *testing.T, table *Table, id ID, bytes int64) Drops {
	t.Helper()
	open(t, table, 0, id)
	assert.Assert(t, table.Begin(id, true, 0))
	drops, ok := table.Receive(id, bytes)
	assert.Assert(t, ok)
	return drops
}

// Guards against bodies that are held back and take the memory of the next caller's.
func TestReceiveDropsTheOldestIncompleteBodies(t *testing.T) {
	table := NewTable(Limits{Connections: 10, ReceivedBytes: 100})
	for id := range ID(4) {
		assert.DeepEqual(t, receive(t, table, id+1, 25), Drops{})
	}
	assert.Assert(t, table.Wait(1, 0), "complete, so the incomplete ones are dropped first")
	assert.DeepEqual(t, receive(t, table, 5, 30), Drops{Close: []ID{2, 3}})
	assert.Equal(t, table.Bytes(), int64(80))
	_, ok := table.Receive(3, 1)
	assert.Assert(t, !ok, "dropped before")
	drops, ok := table.Receive(4, 40)
	assert.Assert(t, ok, "a complete one that waits goes first, since it is answered")
	assert.DeepEqual(t, drops, Drops{Refuse: []ID{1}})
	assert.Assert(t, table.Process(1), "its request is answered on its connection")
}

// Guards against an incomplete body that grows at the cost of newer ones.
func TestReceiveDropsTheGrowingBodyIfItIsTheOldest(t *testing.T) {
	table := NewTable(Limits{Connections: 10, ReceivedBytes: 100})
	receive(t, table, 1, 50)
	receive(t, table, 2, 50)
	drops, ok := table.Receive(1, 1)
	assert.Assert(t, !ok)
	assert.DeepEqual(t, drops, Drops{Close: []ID{1}})
}

// Guards against clients that send Expect: 100-continue and escape the budget: the interim response, which is written before the
// body is read, made the table forget the body, and the next caller's was dropped instead.
func TestInterimResponseLeavesABodyInTheBudget(t *testing.T) {
	table := NewTable(Limits{Connections: 10, ReceivedBytes: 100})
	var dropped []ID
	for id := ID(1); id <= 3; id++ {
		dropped = append(dropped, receive(t, table, id, 4).Close...)
		table.Send(id, 0)
		drops, ok := table.Receive(id, 46)
		assert.Assert(t, ok)
		dropped = append(dropped, drops.Close...)
	}
	assert.DeepEqual(t, dropped, []ID{1})
	assert.Equal(t, table.Bytes(), int64(100))
	assert.DeepEqual(t, receive(t, table, 4, 4), Drops{Close: []ID{2}})

	table.Handled(3, false, 0)
	assert.Equal(t, table.Bytes(), int64(4), "the handler has given up the body")
	table.Send(3, 0)
	assert.Equal(t, table.TimedOut(3), Reason(""), "the response is being sent")
}

// Guards against clients that hold back a body that nobody reads, and keep their connections while the server waits for it.
func TestOpenClosesAConnectionWhoseIgnoredBodyIsHeldBack(t *testing.T) {
	table := NewTable(Limits{Connections: 1})
	open(t, table, 0, 1)
	assert.Assert(t, table.Begin(1, false, 0))
	at := croft.Hour
	assert.Equal(t, table.Open(2, at), Opening{Wait: maxWait}, "the request is being processed")
	table.Handled(1, true, at)
	assert.Equal(t, table.Open(2, at), Opening{Wait: minUnfinished})
	assert.Equal(t, table.Open(2, at+minUnfinished), Opening{Drop: 1, Dropped: true})
}

// Guards against a limit that refuses a single body of the documented size.
func TestBodyThatIsAloneIsNotLimited(t *testing.T) {
	table := NewTable(Limits{Connections: 10, ReceivedBytes: 100})
	assert.DeepEqual(t, receive(t, table, 1, 1000), Drops{})
}

// Guards against the end of requests in progress, and against sums that drift from what is open.
func TestTableHoldsItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Connections: rapid.IntRange(1, 5).Draw(t, "connections"), ReceivedBytes: 100}
		table, at, next := NewTable(limits), croft.Millis(0), ID(0)
		processing := map[ID]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				next++
				if opening := table.Open(next, at); opening.Dropped && processing[opening.Drop] {
					t.Fatal("closed a connection whose request is being processed")
				}
			},
			"pass": func(*rapid.T) { at += 60 },
			"change": func(t *rapid.T) {
				id := ID(rapid.Uint64Range(1, uint64(next)+1).Draw(t, "id"))
				switch rapid.IntRange(0, 7).Draw(t, "change") {
				case 0:
					processing[id] = table.Begin(id, false, at)
				case 1:
					processing[id] = false
					table.Begin(id, true, at)
				case 2:
					if table.entries[id] != nil && table.entries[id].phase == receiving {
						table.Receive(id, rapid.Int64Range(0, 80).Draw(t, "bytes"))
					}
				case 3:
					processing[id] = table.Process(id)
				case 4:
					processing[id] = false
					table.Send(id, at)
				case 5:
					processing[id] = false
					table.Idle(id, at)
				case 6:
					ignoredBody := rapid.Bool().Draw(t, "ignored")
					processing[id] = processing[id] && !ignoredBody
					table.Handled(id, ignoredBody, at)
				case 7:
					processing[id] = false
					table.Close(id)
				}
			},
			"": func(t *rapid.T) {
				sum, largest := int64(0), int64(0)
				for _, e := range table.entries {
					sum, largest = sum+e.bytes, max(largest, e.bytes)
				}
				if sum != table.Bytes() || (sum > limits.ReceivedBytes && sum > largest) || table.Connections() > limits.Connections {
					t.Fatalf("%d bytes counted, %d present, %d connections", table.Bytes(), sum, table.Connections())
				}
			},
		})
	})
}

// Guards against limits that documented clients meet, and against limits beyond the machine: the smallest one has 184 MB and 4,100
// descriptors, of which a leader of 300 executors needs 3,353.
func TestLimitsOfTheSmallestMachine(t *testing.T) {
	limits := SubmissionLimits(184, 4100)
	const maxBody, callers = 256 << 10, 160
	assert.Assert(t, limits.Connections >= callers && limits.Connections <= 4100-3353-100, "%d", limits.Connections)
	assert.Assert(t, limits.ReceivedBytes >= 16*maxBody && limits.ProcessedBytes >= ProcessedFactor*maxBody)
	memory := int64(limits.Connections)*connectionBytes + limits.ReceivedBytes + limits.ProcessedBytes
	assert.Assert(t, memory <= 184<<20*4/10, "%d", memory)
	assert.Equal(t, SubmissionLimits(0, 0), limits)
}

// Guards against requests that wait for a slot and hold all connections: new clients could not connect until their deadlines.
func TestOpenRefusesTheOldestWaitingRequest(t *testing.T) {
	table := NewTable(Limits{Connections: 2, ReceivedBytes: 100})
	for id := ID(1); id <= 2; id++ {
		open(t, table, 0, id)
		assert.Assert(t, table.Begin(id, false, 0))
		assert.Assert(t, table.Wait(id, croft.Millis(id)))
	}
	assert.DeepEqual(t, table.Open(3, minStalled), Opening{Wait: maxWait})
	opening := table.Open(3, minStalled+1)
	assert.Assert(t, opening.Refused && opening.Wait > 0)
	assert.Equal(t, opening.Refuse, ID(1))
	table.Idle(1, minStalled+1)
	opening = table.Open(3, minStalled+1+minUnfinished)
	assert.Assert(t, opening.Dropped)
	assert.Equal(t, opening.Drop, ID(1), "its request has been answered")
}

// Guards against a crowd of large requests that wait, at whose cost small ones were refused.
func TestReceiveRefusesTheLargestWaitingBody(t *testing.T) {
	table := NewTable(Limits{Connections: 10, ReceivedBytes: 100})
	for id, bytes := range []int64{10, 60, 20} {
		receive(t, table, ID(id+1), bytes)
		assert.Assert(t, table.Wait(ID(id+1), 0))
	}
	assert.DeepEqual(t, receive(t, table, 4, 30), Drops{Refuse: []ID{2}})
}

// Guards against connections of other entries that are closed in favour of strangers', and strangers' that stay.
func TestTrustedConnectionsAreKept(t *testing.T) {
	table := NewTable(Limits{Connections: 2})
	open(t, table, 0, 1)
	assert.Assert(t, table.Trust(1))
	table.Send(1, 0)
	open(t, table, 0, 2)
	table.Send(2, 0)
	opening := table.Open(3, croft.Hour)
	assert.Assert(t, opening.Dropped)
	assert.Equal(t, opening.Drop, ID(2), "sending a challenge is no response")
	assert.Assert(t, !table.Trust(2))
}

// Guards against clients that do not read their responses and hold the memory for those of others.
func TestDropStalledTakesTheClientThatReadsNothing(t *testing.T) {
	table := NewTable(Limits{Connections: 10})
	for id := ID(1); id <= 2; id++ {
		open(t, table, 0, id)
		assert.Assert(t, table.Begin(id, false, 0))
		table.Send(id, 0)
	}
	table.Send(1, minStalled)
	id, ok := table.DropStalled(minStalled)
	assert.Assert(t, ok)
	assert.Equal(t, id, ID(2))
	_, ok = table.DropStalled(minStalled)
	assert.Assert(t, !ok, "the other one has read a part")
}

// Guards against a listener for other entries that keeps some of them out: the target has 90 entries, each of which may also have a
// connection that has not been closed yet.
func TestPeerLimitsHoldAllEntries(t *testing.T) {
	const entries, memoryMB, descriptors = 90, 256, 1024
	assert.Assert(t, PeerLimits(memoryMB, descriptors).Connections >= 2*entries)
}
