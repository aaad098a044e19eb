package roster

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/peer"
)

// framingBytes is the overhead that jsonrpc2 and TCP/IP add to a message's parameters.
const framingBytes = 110

// network simulates entries that probe each other without delay, on a virtual clock.
type network struct {
	now            croft.Millis
	states         []State
	indexByAddress map[string]int
	down           map[int]bool
	rnd            *rand.Rand
	bytes          int
	// falselySilent counts how often an entry logged a live one as silent.
	falselySilent int
}

func newNetwork(entries, centres, pools int) *network {
	n := &network{rnd: rand.New(rand.NewPCG(1, 1)), now: 1_000_000, indexByAddress: map[string]int{}, down: map[int]bool{}}
	for i := range entries {
		p := croft.Peer{
			ID:         croft.EntryID(fmt.Sprintf("d%02d-%012x", i%centres, i)),
			DataCentre: croft.DataCentre(fmt.Sprintf("d%02d", i%centres)),
			Address:    fmt.Sprintf("10.%d.0.%d:7402", i%centres, i),
		}
		n.indexByAddress[p.Address] = i
		s := New(p, Options{Seeds: []string{"10.0.0.0:7402"}})
		wanted := map[croft.PoolID]int{}
		for k := range pools {
			wanted[croft.PoolID(fmt.Sprintf("pool-%02d", k))] = 10 + (i+k)%5
		}
		s, _ = Reduce(s, croft.TrafficCounted{At: croft.At{Time: n.now}, Wanted: wanted})
		n.states = append(n.states, s)
	}
	return n
}

// run advances the clock by a duration in steps of 100 ms.
func (n *network) run(duration croft.Millis) {
	for end := n.now + duration; n.now < end; {
		n.now += 100
		for i := range n.states {
			if !n.down[i] {
				n.tick(i)
			}
		}
	}
}

func (n *network) tick(i int) {
	var effects []croft.Effect
	n.states[i], effects = Reduce(n.states[i], croft.Tick{At: croft.At{Time: n.now}})
	for _, e := range effects {
		switch ef := e.(type) {
		case croft.ProbePeer:
			n.probe(i, ef.Peer)
		case croft.Decision:
			if ef.Choice == "Silent" && !n.isDown(ef.Subject) {
				n.falselySilent++
			}
		}
	}
}

func (n *network) isDown(entryID string) bool {
	for i := range n.down {
		if string(n.states[i].self.ID) == entryID {
			return true
		}
	}
	return false
}

// probe exchanges messages between an entry and the one at an address, or reports a failed probe if that one is down.
func (n *network) probe(from int, to croft.Peer) {
	i, found := n.indexByAddress[to.Address]
	if !found || n.down[i] {
		n.states[from], _ = Reduce(n.states[from], croft.PeerProbeFailed{At: croft.At{Time: n.now}, ID: to.ID})
		return
	}
	asked := n.deliver(from, i, nil)
	n.deliver(i, from, asked)
}

// deliver sends a message from one entry to another and returns the entries whose descriptions it requests.
func (n *network) deliver(from, to int, asked []croft.EntryID) []croft.EntryID {
	s := n.states[from]
	c := s.Message(n.now, n.states[to].self, asked, n.rnd.Uint64())
	report := peer.Report{From: s.Self(), Known: c.Known, Ask: c.Ask, Beats: c.Beats, Count: c.Count, Wanted: c.Wanted}
	body, err := json.Marshal(report)
	if err != nil {
		panic(err)
	}
	n.bytes += len(body) + framingBytes
	n.states[to], _ = Reduce(n.states[to], croft.PeerMessageReceived{
		At: croft.At{Time: n.now}, Peer: report.From, Known: c.Known, Beats: c.Beats, Count: c.Count, Wanted: c.Wanted,
	})
	return c.Ask
}

// networkSizes are two present sizes and the target size.
var networkSizes = []struct{ entries, centres, pools int }{{6, 4, 5}, {9, 4, 5}, {90, 10, 75}}

// BenchmarkBytesBetweenEntries reports the bytes per second that an entry sends and receives.
func BenchmarkBytesBetweenEntries(b *testing.B) {
	for _, c := range networkSizes {
		b.Run(fmt.Sprintf("entries=%d", c.entries), func(b *testing.B) {
			for range b.N {
				n := newNetwork(c.entries, c.centres, c.pools)
				n.run(2 * croft.Minute)
				n.bytes, n.falselySilent = 0, 0
				const duration = croft.Minute
				n.run(duration)
				// Each byte is sent by one entry and received by another.
				bytesPerEntry := 2 * float64(n.bytes) / float64(c.entries) / float64(duration/croft.Second)
				b.ReportMetric(bytesPerEntry, "bytes/s/node")
				b.ReportMetric(float64(n.falselySilent), "false-silent/min")
				b.ReportMetric(float64(n.minAlive()), "known-entries")
			}
		})
	}
}

// minAlive returns the smallest number of entries that a running entry considers alive.
func (n *network) minAlive() int {
	least := len(n.states)
	for i := range n.states {
		if !n.down[i] {
			least = min(least, len(n.states[i].Alive()))
		}
	}
	return least
}

// At the present sizes and the target size, all entries must exclude a stopped entry, and none may exclude a live one.
func TestNetworkDetectsExactlyTheStoppedEntry(t *testing.T) {
	for _, c := range networkSizes {
		n := newNetwork(c.entries, c.centres, 1)
		n.run(2 * croft.Minute)
		assert.Equal(t, n.minAlive(), c.entries, "entries %d", c.entries)
		n.falselySilent = 0
		n.down[1] = true
		n.run(2 * croft.Minute)
		assert.Equal(t, n.falselySilent, 0, "entries %d", c.entries)
		assert.Equal(t, n.minAlive(), c.entries-1, "entries %d", c.entries)
	}
}
