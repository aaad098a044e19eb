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

// framing is what jsonrpc2 and TCP/IP add to a message's parameters, in bytes.
const framing = 110

// mesh is entries that probe each other on a virtual clock without delay.
type mesh struct {
	now    croft.Millis
	states []State
	place  map[string]int
	down   map[int]bool
	chance *rand.Rand
	bytes  int
	// falseSilent counts live entries that another one left out.
	falseSilent int
}

func newMesh(entries, centres, pools int) *mesh {
	m := &mesh{chance: rand.New(rand.NewPCG(1, 1)), now: 1_000_000, place: map[string]int{}, down: map[int]bool{}}
	for i := range entries {
		p := croft.Peer{
			ID:         croft.EntryID(fmt.Sprintf("d%02d-%012x", i%centres, i)),
			DataCentre: croft.DataCentre(fmt.Sprintf("d%02d", i%centres)),
			Address:    fmt.Sprintf("10.%d.0.%d:7402", i%centres, i),
		}
		m.place[p.Address] = i
		s := New(p, Options{Seeds: []string{"10.0.0.0:7402"}})
		wanted := map[croft.PoolID]int{}
		for k := range pools {
			wanted[croft.PoolID(fmt.Sprintf("pool-%02d", k))] = 10 + (i+k)%5
		}
		s, _ = Reduce(s, croft.TrafficCounted{At: croft.At{Time: m.now}, Wanted: wanted})
		m.states = append(m.states, s)
	}
	return m
}

// run lets a span pass in steps of 100 ms.
func (m *mesh) run(span croft.Millis) {
	for end := m.now + span; m.now < end; {
		m.now += 100
		for i := range m.states {
			if !m.down[i] {
				m.tick(i)
			}
		}
	}
}

func (m *mesh) tick(i int) {
	var effects []croft.Effect
	m.states[i], effects = Reduce(m.states[i], croft.Tick{At: croft.At{Time: m.now}})
	for _, e := range effects {
		switch ef := e.(type) {
		case croft.ProbePeer:
			m.probe(i, ef.Peer)
		case croft.Decision:
			if ef.Choice == "Silent" && !m.isDown(ef.Subject) {
				m.falseSilent++
			}
		}
	}
}

func (m *mesh) isDown(id string) bool {
	for i := range m.down {
		if string(m.states[i].self.ID) == id {
			return true
		}
	}
	return false
}

func (m *mesh) probe(from int, to croft.Peer) {
	i, found := m.place[to.Address]
	if !found || m.down[i] {
		m.states[from], _ = Reduce(m.states[from], croft.PeerProbeFailed{At: croft.At{Time: m.now}, ID: to.ID})
		return
	}
	asked := m.deliver(from, i, nil)
	m.deliver(i, from, asked)
}

// deliver has one entry hear a message of another and returns what the message asks for.
func (m *mesh) deliver(from, to int, asked []croft.EntryID) []croft.EntryID {
	s := m.states[from]
	c := s.Message(m.now, m.states[to].self, asked, m.chance.Uint64())
	report := peer.Report{From: s.Self(), Known: c.Known, Ask: c.Ask, Beats: c.Beats, Count: c.Count, Wanted: c.Wanted}
	body, err := json.Marshal(report)
	if err != nil {
		panic(err)
	}
	m.bytes += len(body) + framing
	m.states[to], _ = Reduce(m.states[to], croft.PeerMessageReceived{
		At: croft.At{Time: m.now}, Peer: report.From, Known: c.Known, Beats: c.Beats, Count: c.Count, Wanted: c.Wanted,
	})
	return c.Ask
}

// meshes are today's sizes and the target's: entries, data centres, pools.
var meshes = []struct{ entries, centres, pools int }{{6, 4, 5}, {9, 4, 5}, {90, 10, 75}}

// BenchmarkBytesBetweenEntries prints the bytes a second that an entry sends and receives.
func BenchmarkBytesBetweenEntries(b *testing.B) {
	for _, c := range meshes {
		b.Run(fmt.Sprintf("entries=%d", c.entries), func(b *testing.B) {
			for range b.N {
				m := newMesh(c.entries, c.centres, c.pools)
				m.run(2 * croft.Minute)
				m.bytes, m.falseSilent = 0, 0
				const span = croft.Minute
				m.run(span)
				// Each byte is sent by one entry and received by another.
				perNode := 2 * float64(m.bytes) / float64(c.entries) / float64(span/croft.Second)
				b.ReportMetric(perNode, "bytes/s/node")
				b.ReportMetric(float64(m.falseSilent), "false-silent/min")
				b.ReportMetric(float64(m.known()), "known-entries")
			}
		})
	}
}

// known is the least number of entries that an entry thinks alive.
func (m *mesh) known() int {
	least := len(m.states)
	for i := range m.states {
		if !m.down[i] {
			least = min(least, len(m.states[i].Alive()))
		}
	}
	return least
}

// An entry that stopped is left out by all, and none that lives is, at today's sizes and the target's.
func TestMeshKnowsWhoIsAlive(t *testing.T) {
	for _, c := range meshes {
		m := newMesh(c.entries, c.centres, 1)
		m.run(2 * croft.Minute)
		assert.Equal(t, m.known(), c.entries, "entries %d", c.entries)
		m.falseSilent = 0
		m.down[1] = true
		m.run(2 * croft.Minute)
		assert.Equal(t, m.falseSilent, 0, "entries %d", c.entries)
		assert.Equal(t, m.known(), c.entries-1, "entries %d", c.entries)
	}
}
