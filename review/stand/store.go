//go:build review

package main

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the store, as in the example of the settings file.
const (
	rowBytes   = 65536
	maxEntries = 100
	maxTxBytes = 1 << 20
	maxRows    = 500
	maxParts   = 1000
	// txDuration and answerDuration are how long the store usually takes.
	txDuration     = 6 * time.Millisecond
	answerDuration = 4 * time.Millisecond
	history        = 20 * time.Second
)

type rowKey struct{ Table, Part, Key string }

// row is a row on the wire; Ver is a pointer in expected_rev only, where zero means that the row does not exist.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func (r row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

type change struct {
	row
	at time.Time
}

// store is the platform's table store: linearizable, with a feed of changes that goes back for a limited time.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	ver     uint64
	changes []change
	// dropped is the version up to which the history is gone.
	dropped uint64
	changed chan struct{}
	// refused counts the transactions that were refused because they break a limit.
	refused int
	// slowness is by how much longer each answer takes than usual, zero if it takes the usual time.
	slowness int
	rec      *recorder
	began    time.Time
}

// slowDown makes each answer take a number of times as long; zero ends that.
func (s *store) slowDown(times int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowness = times
	s.rec.note("store", "answers take %d times as long", max(times, 1))
}

// take waits as long as an answer takes now.
func (s *store) take(usual time.Duration) {
	s.mu.Lock()
	times := max(s.slowness, 1)
	s.mu.Unlock()
	time.Sleep(usual * time.Duration(times))
}

func newStore(rec *recorder) *store {
	return &store{rows: map[rowKey]row{}, changed: make(chan struct{}), rec: rec, began: time.Now(), ver: 100}
}

// apply writes and removes rows as one transaction; the caller holds s.mu.
func (s *store) apply(set, remove []row) {
	s.ver++
	now := time.Now()
	for _, r := range set {
		r.Ver, r.Tombstone = s.ver, false
		s.rows[r.id()] = r
		s.changes = append(s.changes, change{r, now})
	}
	for _, r := range remove {
		if _, ok := s.rows[r.id()]; !ok {
			continue
		}
		delete(s.rows, r.id())
		s.changes = append(s.changes, change{row{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.ver, Tombstone: true}, now})
	}
	for len(s.changes) > 0 && now.Sub(s.changes[0].at) > history {
		s.dropped = s.changes[0].Ver
		s.changes = s.changes[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row for the operator or an executor.
func (s *store) put(table, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: raw}}, nil)
}

// drop removes a row for the operator or an executor.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []row{{Table: table, Key: key}})
}

// get returns the value of a row, nil if there is none.
func (s *store) get(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey{table, part, key}].Value
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.serveTx)
	mux.HandleFunc("GET /-/rows-get", s.serveGet)
	mux.HandleFunc("GET /-/rows-parts", s.serveParts)
	mux.HandleFunc("GET /-/rows-feed", s.serveFeed)
	return mux
}

type storeAnswer struct {
	Ver       uint64   `json:"ver"`
	NowMs     int64    `json:"now_ms"`
	Rows      []row    `json:"rows"`
	MorePages bool     `json:"more_pages"`
	Parts     []string `json:"parts,omitempty"`
}

func (s *store) answer(w http.ResponseWriter, status int, a storeAnswer) {
	a.NowMs = time.Since(s.began).Milliseconds()
	if a.Rows == nil {
		a.Rows = []row{}
	}
	writeJSON(w, status, a)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// txLimit names the limit that a transaction breaks, empty if there is none.
func txLimit(size int, expected, set, remove []row) string {
	if len(expected)+len(set)+len(remove) > maxEntries {
		return "more than 100 entries"
	}
	if size > maxTxBytes {
		return "more than 1 MB"
	}
	parts := map[string]bool{}
	for _, list := range [][]row{expected, set, remove} {
		for _, r := range list {
			parts[r.Part] = true
			if len(r.Table) > 200 || len(r.Part) > 200 || len(r.Key) > 200 {
				return "a name is longer than 200 bytes"
			}
		}
	}
	if len(parts) > 1 {
		return "more than one part"
	}
	for _, r := range set {
		if len(r.Value) > rowBytes {
			return "the value of " + r.Table + "/" + r.Part + "/" + r.Key + " has " + strconv.Itoa(len(r.Value)) + " bytes, more than row_bytes"
		}
	}
	return ""
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		ExpectedRev []row `json:"expected_rev"`
		SetKeys     []row `json:"set_keys"`
		Remove      []row `json:"remove"`
	}
	body := &countingReader{r: r.Body}
	if err := json.NewDecoder(body).Decode(&tx); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	s.take(txDuration + answerDuration)
	if limit := txLimit(body.n, tx.ExpectedRev, tx.SetKeys, tx.Remove); limit != "" {
		s.mu.Lock()
		s.refused++
		first := s.refused == 1
		s.mu.Unlock()
		if first {
			s.rec.note("store", "refuses a transaction with 400: %s", limit)
		}
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": limit})
		return
	}
	for _, list := range [][]row{tx.SetKeys, tx.Remove} {
		for _, r := range list {
			if r.Table == "op" || r.Table == "servers" {
				writeJSON(w, http.StatusForbidden, map[string]string{"error": r.Table})
				return
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	conflict := false
	for _, e := range tx.ExpectedRev {
		found, ok := s.rows[e.id()]
		if ok {
			current = append(current, found)
		}
		conflict = conflict || found.Ver != e.Ver
	}
	if conflict {
		s.answer(w, http.StatusPreconditionFailed, storeAnswer{Ver: s.ver, Rows: current})
		return
	}
	s.apply(tx.SetKeys, tx.Remove)
	s.answer(w, http.StatusOK, storeAnswer{Ver: s.ver})
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := maxRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 && n < limit {
		limit = n
	}
	s.take(answerDuration)
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for id, r := range s.rows {
		if id.Table == q.Get("table") && id.Part == q.Get("part") && id.Key >= q.Get("from") && (q.Get("target") == "" || id.Key < q.Get("target")) {
			found = append(found, r)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	size, n := 0, 0
	for n < len(found) && n < limit && size < maxTxBytes {
		size += len(found[n].Value) * 4 / 3
		n++
	}
	s.answer(w, http.StatusOK, storeAnswer{Ver: s.ver, Rows: found[:n], MorePages: n < len(found)})
}

func (s *store) serveParts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.take(answerDuration)
	s.mu.Lock()
	defer s.mu.Unlock()
	names := map[string]bool{}
	for id := range s.rows {
		if id.Table == q.Get("table") && (!q.Has("after") || id.Part > q.Get("after")) {
			names[id.Part] = true
		}
	}
	parts := make([]string, 0, len(names))
	for name := range names {
		parts = append(parts, name)
	}
	sort.Strings(parts)
	n := min(len(parts), maxParts)
	s.answer(w, http.StatusOK, storeAnswer{Ver: s.ver, Parts: parts[:n], MorePages: n < len(parts)})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(min(wait, 30000))*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		if after < s.dropped {
			ver := s.ver
			s.mu.Unlock()
			s.answer(w, http.StatusGone, storeAnswer{Ver: ver})
			return
		}
		var rows []row
		from := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].Ver > after })
		for _, c := range s.changes[from:] {
			if c.Table == q.Get("table") {
				rows = append(rows, c.row)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(rows) > 0 || ctx.Err() != nil {
			s.take(answerDuration)
			s.answer(w, http.StatusOK, storeAnswer{Ver: ver, Rows: rows})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}
