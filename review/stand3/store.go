//go:build review3

package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// row is a row of the store on the wire.
type row struct {
	Table     string  `json:"table"`
	Part      string  `json:"part"`
	Key       string  `json:"key"`
	Value     []byte  `json:"value,omitempty"`
	Ver       uint64  `json:"ver"`
	Tombstone bool    `json:"tombstone,omitempty"`
	Expected  *uint64 `json:"-"`
}

// transaction is the body of rows-tx.
type transaction struct {
	ExpectedRev []row `json:"expected_rev"`
	SetKeys     []row `json:"set_keys"`
	Remove      []row `json:"remove"`
}

// touches reports whether a transaction writes a row of a table.
func (t transaction) touches(table string) bool {
	return slices.ContainsFunc(t.SetKeys, func(r row) bool { return r.Table == table })
}

// store is a stand-in of the platform's metadata store. It keeps its whole history.
type store struct {
	began time.Time

	mu      sync.Mutex
	changed *sync.Cond
	version uint64
	rows    map[string]row
	history []row
	// slowness multiplies the time that answers and transactions take.
	slowness time.Duration
}

// The usual times of an answer, and of a transaction before it is applied.
const (
	answerTime = 4 * time.Millisecond
	txTime     = 6 * time.Millisecond
)

// pause waits for a usual time, longer while the store is slow.
func (s *store) pause(usual time.Duration) {
	s.mu.Lock()
	slowness := s.slowness
	s.mu.Unlock()
	time.Sleep(usual * slowness)
}

func newStore() *store {
	s := &store{began: time.Now(), rows: map[string]row{}, slowness: 1}
	s.changed = sync.NewCond(&s.mu)
	return s
}

func rowID(r row) string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// put writes a row without a condition, as the operator and the executors do.
func (s *store) put(table, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.apply(transaction{SetKeys: []row{{Table: table, Key: key, Value: raw}}})
}

// apply applies a transaction and returns its version, or the rows that do not have the expected versions.
func (s *store) apply(tx transaction) (uint64, []row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	met := true
	for _, want := range tx.ExpectedRev {
		have, ok := s.rows[rowID(want)]
		met = met && have.Ver == want.Ver
		if ok {
			current = append(current, have)
		}
	}
	if !met {
		return s.version, current, false
	}
	s.version++
	for _, r := range tx.SetKeys {
		r.Ver = s.version
		s.rows[rowID(r)] = r
		s.history = append(s.history, r)
	}
	for _, r := range tx.Remove {
		if _, ok := s.rows[rowID(r)]; ok {
			delete(s.rows, rowID(r))
			s.history = append(s.history, row{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.version, Tombstone: true})
		}
	}
	s.changed.Broadcast()
	return s.version, nil, true
}

func (s *store) nowMs() int64 { return time.Since(s.began).Milliseconds() }

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if r.URL.Path == "/-/rows-tx" {
		s.serveTx(w, r)
		return
	}
	switch r.URL.Path {
	case "/-/rows-get":
		limit, _ := strconv.Atoi(q.Get("limit"))
		s.serveGet(w, q.Get("table"), q.Get("part"), q.Get("from"), q.Get("target"), limit)
	case "/-/rows-parts":
		s.serveParts(w, q.Get("table"), q.Get("after"))
	case "/-/rows-feed":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.serveFeed(w, q.Get("table"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func writeJSON(w http.ResponseWriter, status int, body map[string]any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.pause(txTime)
	version, rows, ok := s.apply(tx)
	if !ok {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"rows": rows, "ver": version, "now_ms": s.nowMs()})
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"ver": version, "now_ms": s.nowMs()})
}

func (s *store) serveGet(w http.ResponseWriter, table, part, from, target string, limit int) {
	const maxRows = 500
	if limit <= 0 || limit > maxRows {
		limit = maxRows
	}
	s.mu.Lock()
	rows := []row{}
	for _, r := range s.rows {
		if r.Table == table && r.Part == part && r.Key >= from && (target == "" || r.Key < target) {
			rows = append(rows, r)
		}
	}
	version := s.version
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	s.pause(answerTime)
	more := len(rows) > limit
	writeJSON(w, http.StatusOK, map[string]any{"rows": rows[:min(limit, len(rows))], "more_pages": more, "ver": version, "now_ms": s.nowMs()})
}

func (s *store) serveParts(w http.ResponseWriter, table, after string) {
	s.mu.Lock()
	names := []string{}
	for _, r := range s.rows {
		if r.Table == table && (r.Part > after || after == "") && !slices.Contains(names, r.Part) {
			names = append(names, r.Part)
		}
	}
	version := s.version
	s.mu.Unlock()
	slices.Sort(names)
	s.pause(answerTime)
	writeJSON(w, http.StatusOK, map[string]any{"parts": names, "more_pages": false, "ver": version, "now_ms": s.nowMs()})
}

func (s *store) serveFeed(w http.ResponseWriter, table string, after uint64, wait time.Duration) {
	deadline := time.Now().Add(wait)
	timer := time.AfterFunc(wait, s.changed.Broadcast)
	defer timer.Stop()
	s.mu.Lock()
	rows := []row{}
	for {
		from, _ := slices.BinarySearchFunc(s.history, after+1, func(r row, v uint64) int {
			if r.Ver < v {
				return -1
			}
			return 1
		})
		for _, r := range s.history[from:] {
			if r.Table == table {
				rows = append(rows, r)
			}
		}
		if len(rows) > 0 || !time.Now().Before(deadline) {
			break
		}
		s.changed.Wait()
	}
	version := s.version
	s.mu.Unlock()
	s.pause(answerTime)
	writeJSON(w, http.StatusOK, map[string]any{"rows": rows, "ver": version, "now_ms": s.nowMs()})
}

// setSlow makes answers and transactions take 60 times as long, or as long as usual.
func (s *store) setSlow(slow bool) {
	factor := time.Duration(1)
	if slow {
		factor = 60
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowness = factor
}

// storeView is the store as one machine reaches it. While it turns the machine away, calls about the part without a name get 503, which
// means that nothing was done; the other parts are served.
type storeView struct {
	store     *store
	turnsAway atomic.Bool
}

func (v *storeView) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if v.turnsAway.Load() && isOfUnnamedPart(r) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	v.store.ServeHTTP(w, r)
}

// isOfUnnamedPart reports whether a call is about the part without a name, or about a table that has only this part.
func isOfUnnamedPart(r *http.Request) bool {
	if r.URL.Path != "/-/rows-tx" {
		return slices.Contains([]string{"lead", "op", "servers", "status", "wave"}, r.URL.Query().Get("table"))
	}
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return true
	}
	r.Body = io.NopCloser(bytes.NewReader(raw))
	var tx transaction
	if json.Unmarshal(raw, &tx) != nil {
		return false
	}
	return slices.ContainsFunc(slices.Concat(tx.ExpectedRev, tx.SetKeys, tx.Remove), func(r row) bool { return r.Part == "" })
}

// newest returns the newest version.
func (s *store) newest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}
