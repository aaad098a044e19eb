package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
	"waxwing.example/croft/sched"
)

// waveTable is the name of the table that records the VMs of each wave whose maintenance has begun or may have
// been ordered.
const waveTable = "wave"

// waveRow is the value of a row of waveTable; the row's key is the number of the wave.
type waveRow struct {
	// Fence is the fencing token of the leader that wrote the row.
	Fence   uint64
	Begun   []croft.VMID `json:",omitempty"`
	Ordered []croft.VMID `json:",omitempty"`
	// Departed has the VMs that have left for good.
	Departed []croft.VMID `json:",omitempty"`
	// Requested is when the wave was requested, as Unix time in milliseconds; zero in rows of older versions.
	Requested croft.Millis `json:",omitempty"`
}

// decodeWave decodes a row of waveTable; key is the part of its key after the prefix.
func decodeWave(key string, raw []byte) (int, waveRow, error) {
	number, err := strconv.Atoi(key)
	if err != nil {
		return 0, waveRow{}, err
	}
	var row waveRow
	err = json.Unmarshal(raw, &row)
	return number, row, err
}

// waveWriter stores and publishes the newest state of each wave during one term of leadership, with one write at a time for
// each wave.
type waveWriter struct {
	agent *Agent
	// fence is the fencing token of the term.
	fence uint64
	mu    sync.Mutex
	// pending has the newest report of each wave that is still to be written.
	pending map[int]sched.ReportWave
	// writing has the waves for which a goroutine runs write.
	writing map[int]bool
	// versions has the version of each row, and sent the value of the last write without a known outcome.
	versions map[int]uint64
	sent     map[int][]byte
}

func newWaveWriter(a *Agent, fence uint64) *waveWriter {
	return &waveWriter{
		agent: a, fence: fence, pending: map[int]sched.ReportWave{}, writing: map[int]bool{}, versions: map[int]uint64{}, sent: map[int][]byte{},
	}
}

// recordVersion records the version of a stored row.
func (w *waveWriter) recordVersion(number int, version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.versions[number] = version
	delete(w.sent, number)
}

// prepare returns the write of a row, and the value of an earlier write that may have been applied.
func (w *waveWriter) prepare(e sched.ReportWave) (croft.Op, []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	value := jobs.Encode(waveRow{Fence: w.fence, Begun: e.Begun, Ordered: e.Ordered, Departed: e.Departed, Requested: e.Requested})
	earlier := w.sent[e.Number]
	w.sent[e.Number] = value
	return croft.Op{Kind: croft.OpPut, Key: waveKey(e.Number), Version: w.versions[e.Number], Value: value}, earlier
}

// submit queues a report, which replaces an older pending one of the same wave.
func (w *waveWriter) submit(ctx context.Context, e sched.ReportWave) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending[e.Number] = e
	if !w.writing[e.Number] {
		w.writing[e.Number] = true
		go w.write(ctx, e.Number)
	}
}

// write writes the pending reports of a wave until there is none; it retries failed ones unless there is a
// newer report.
func (w *waveWriter) write(ctx context.Context, number int) {
	for {
		w.mu.Lock()
		e, ok := w.pending[number]
		delete(w.pending, number)
		if !ok || ctx.Err() != nil {
			w.writing[number] = false
			w.mu.Unlock()
			return
		}
		w.mu.Unlock()
		if err := w.writeReport(ctx, e); err != nil {
			w.agent.Log.Warn("Wave", strconv.Itoa(number), err.Error())
			w.mu.Lock()
			if _, newer := w.pending[number]; !newer {
				w.pending[number] = e
			}
			w.mu.Unlock()
			if w.agent.Clock.Sleep(ctx, retryDelay) != nil {
				continue
			}
		}
	}
}

// writeReport stores a report and publishes with it whether the wave is finished, and confirms that to the planner. Both are one
// write, whose condition keeps the status from being replaced by an older one that is carried out late. If another
// leader has written the row, the planner gets its content instead and reports anew.
func (w *waveWriter) writeReport(ctx context.Context, e sched.ReportWave) error {
	op, earlier := w.prepare(e)
	version, err := w.agent.Table.Commit(ctx, []croft.Op{op, w.agent.Fleet.WaveStatus(e.Number, e.Finished)})
	var conflict *croft.ConflictError
	if errors.As(err, &conflict) {
		return w.resolveConflict(ctx, e, conflict, earlier)
	}
	if err != nil {
		return err
	}
	w.recordVersion(e.Number, version)
	w.agent.post(ctx, sched.WaveStored{ReportWave: e})
	if e.Finished {
		w.agent.Log.Log(croft.Decision{Action: "Wave", Subject: strconv.Itoa(e.Number), Choice: "Published", Reason: "its status is done"})
	}
	return nil
}

// resolveConflict handles a row that has another version than expected: an earlier write of this leader, whose answer was
// lost, or the write of another leader.
func (w *waveWriter) resolveConflict(ctx context.Context, e sched.ReportWave, conflict *croft.ConflictError, earlier []byte) error {
	for _, row := range conflict.Rows {
		if row.Key != waveKey(e.Number) {
			continue
		}
		w.recordVersion(e.Number, row.Version)
		if bytes.Equal(row.Value, earlier) {
			return w.writeReport(ctx, e)
		}
		_, stored, err := decodeWave(strconv.Itoa(e.Number), row.Value)
		if err != nil {
			return err
		}
		if stored.Fence > w.fence {
			w.agent.Log.Warn("StepDown", w.agent.Self, fmt.Sprintf("wave %d was written with fencing token %d; ours is %d", e.Number, stored.Fence, w.fence))
			w.agent.Election.StepDown()
			return nil
		}
		w.agent.post(ctx, sched.WaveRowsRead{Begun: map[int][]croft.VMID{e.Number: stored.Begun}, Ordered: map[int][]croft.VMID{e.Number: stored.Ordered}, Departed: map[int][]croft.VMID{e.Number: stored.Departed}, Requested: map[int]croft.Millis{e.Number: stored.Requested}})
		return nil
	}
	return conflict
}

// waveKey returns the key of a wave's row.
func waveKey(number int) string { return waveTable + "//" + strconv.Itoa(number) }

// readWaves reads, once a term, for which VMs former leaders have begun or ordered maintenance.
func (a *Agent) readWaves(ctx context.Context, reports *waveWriter) {
	for ctx.Err() == nil {
		got, err := a.Feed.ReadTable(ctx, waveTable, nil)
		if err != nil {
			a.Log.Warn("Feed", "waves", err.Error())
			if a.Clock.Sleep(ctx, retryDelay) != nil {
				return
			}
			continue
		}
		rows := sched.WaveRowsRead{Begun: map[int][]croft.VMID{}, Ordered: map[int][]croft.VMID{}, Departed: map[int][]croft.VMID{}, Requested: map[int]croft.Millis{}}
		for _, row := range got.Rows {
			number, value, err := decodeWave(strings.TrimPrefix(row.Key, waveTable+"//"), row.Value)
			if err != nil {
				a.Log.Error("Unreadable", row.Key, err.Error())
				continue
			}
			rows.Begun[number], rows.Ordered[number] = value.Begun, value.Ordered
			rows.Departed[number], rows.Requested[number] = value.Departed, value.Requested
			reports.recordVersion(number, row.Version)
		}
		a.post(ctx, rows)
		return
	}
}
