package agent

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
	"waxwing.example/croft/sched"
)

// waveStore is a table and a VM interface that know only the rows of waves.
type waveStore struct {
	mu      sync.Mutex
	rows    map[string]croft.Row
	version uint64
	// loseAnswer makes the next commit take effect without an answer.
	loseAnswer bool
}

func (s *waveStore) Get(context.Context, string) (croft.Row, error) {
	return croft.Row{}, croft.ErrNoRow
}

func (s *waveStore) Scan(context.Context, croft.Range) ([]croft.Row, error) { return nil, nil }

func (s *waveStore) Commit(_ context.Context, ops []croft.Op) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	op := ops[0]
	if row := s.rows[op.Key]; op.Version != croft.AnyVersion && row.Version != op.Version {
		row.Key = op.Key
		return 0, &croft.ConflictError{Rows: []croft.Row{row}}
	}
	s.version++
	s.rows[op.Key] = croft.Row{Key: op.Key, Version: s.version, Value: op.Value}
	if s.loseAnswer {
		s.loseAnswer = false
		return 0, &croft.LostAnswerError{Reason: "test"}
	}
	return s.version, nil
}

func (s *waveStore) ListFleet(context.Context) ([]croft.FleetVM, error) { return nil, nil }

func (s *waveStore) MoveOrMaintain(context.Context, croft.FleetOrder) error { return nil }

func (s *waveStore) ReportWave(context.Context, int, bool) error { return nil }

// stored returns the row of a wave.
func (s *waveStore) stored(t *testing.T, number int) waveRow {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	_, row, err := decodeWave(strconv.Itoa(number), s.rows[waveKey(number)].Value)
	assert.NilError(t, err)
	return row
}

// newWaveWriters returns a store and the writers of a leader and of its successor, whose events go to the same agent.
func newWaveWriters(t *testing.T) (ctx context.Context, a *Agent, store *waveStore, former, successor *waveWriter) {
	t.Helper()
	a, ctx = newTestAgent(t, newFakeFeed())
	store = &waveStore{rows: map[string]croft.Row{}}
	a.Table, a.Fleet = store, store
	return ctx, a, store, newWaveWriter(a, 10), newWaveWriter(a, 20)
}

// nextEvent returns the next event for the planner.
func nextEvent(t *testing.T, a *Agent) sched.Event {
	t.Helper()
	select {
	case e := <-a.events:
		return e
	case <-time.After(5 * time.Second):
		t.Fatal("no event for the planner")
		return nil
	}
}

// Guards against a wave whose record is lost at a takeover: the row of a wave was written without a version, so a late write
// of the former leader replaced that of its successor, and a third leader did not count the VMs under maintenance.
func TestFormerLeaderDoesNotReplaceTheRecordOfAWave(t *testing.T) {
	ctx, a, store, former, successor := newWaveWriters(t)
	former.submit(ctx, sched.ReportWave{Number: 1, Begun: []croft.VMID{"a"}})
	assert.DeepEqual(t, nextEvent(t, a).(sched.WaveStored).Begun, []croft.VMID{"a"})
	successor.recordVersion(1, store.rows[waveKey(1)].Version)
	successor.submit(ctx, sched.ReportWave{Number: 1, Begun: []croft.VMID{"a", "b"}, Ordered: []croft.VMID{"c"}})
	assert.DeepEqual(t, nextEvent(t, a).(sched.WaveStored).Ordered, []croft.VMID{"c"})
	assert.NilError(t, former.writeReport(ctx, sched.ReportWave{Number: 1, Begun: []croft.VMID{"a", "d"}}))
	assert.Equal(t, len(a.events), 0)
	row := store.stored(t, 1)
	assert.Equal(t, row.Fence, uint64(20))
	assert.DeepEqual(t, row.Begun, []croft.VMID{"a", "b"})
}

// A successor that has read the row before the former leader's last write gets that write before it may give any order.
func TestSuccessorGetsTheLastRecordOfTheFormerLeader(t *testing.T) {
	ctx, a, store, former, successor := newWaveWriters(t)
	former.submit(ctx, sched.ReportWave{Number: 1, Ordered: []croft.VMID{"a"}})
	nextEvent(t, a)
	successor.submit(ctx, sched.ReportWave{Number: 1})
	read := nextEvent(t, a).(sched.WaveRowsRead)
	assert.DeepEqual(t, read.Ordered[1], []croft.VMID{"a"})
	successor.submit(ctx, sched.ReportWave{Number: 1, Ordered: []croft.VMID{"a", "b"}})
	nextEvent(t, a)
	assert.DeepEqual(t, store.stored(t, 1).Ordered, []croft.VMID{"a", "b"})
}

func TestLostAnswerOfAWaveReportIsResolved(t *testing.T) {
	ctx, a, store, former, _ := newWaveWriters(t)
	store.loseAnswer = true
	former.submit(ctx, sched.ReportWave{Number: 1, Begun: []croft.VMID{"a"}})
	assert.DeepEqual(t, nextEvent(t, a).(sched.WaveStored).Begun, []croft.VMID{"a"})
	assert.DeepEqual(t, store.stored(t, 1), waveRow{Fence: 10, Begun: []croft.VMID{"a"}})
	assert.Equal(t, string(jobs.Encode(store.stored(t, 1))), string(store.rows[waveKey(1)].Value))
}
