//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
)

// rowKey names a row of the store.
type rowKey struct{ table, part, key string }

// wireRow is a row on the wire, in transactions and in answers.
type wireRow struct {
	Table     string  `json:"table"`
	Part      string  `json:"part"`
	Key       string  `json:"key"`
	Value     []byte  `json:"value,omitempty"`
	Ver       *uint64 `json:"ver,omitempty"`
	Tombstone bool    `json:"tombstone,omitempty"`
}

func (w wireRow) rowKey() rowKey { return rowKey{w.Table, w.Part, w.Key} }

// change is an entry of the store's history.
type change struct {
	ver uint64
	row wireRow
}

// store is the platform's metadata store.
type store struct {
	mu      sync.Mutex
	ver     uint64
	rows    map[rowKey]wireRow
	history []change
	changed chan struct{}
	began   time.Time
	// keys has the sorted keys of each part of each table.
	keys map[rowKey][]string
	// forgotten has, for tables whose older history is gone, the version up to which it is.
	forgotten map[string]uint64
}

// answerTime is how long the store takes for an answer.
const answerTime = 4 * time.Millisecond

func newStore() *store {
	return &store{rows: map[rowKey]wireRow{}, changed: make(chan struct{}), began: time.Now(), keys: map[rowKey][]string{}, forgotten: map[string]uint64{}}
}

// put stores a row; s.mu is held.
func (s *store) put(row wireRow) {
	k := row.rowKey()
	if _, ok := s.rows[k]; !ok {
		part := rowKey{table: k.table, part: k.part}
		at, _ := slices.BinarySearch(s.keys[part], k.key)
		s.keys[part] = slices.Insert(s.keys[part], at, k.key)
	}
	s.rows[k] = row
}

// drop removes a row; s.mu is held.
func (s *store) drop(k rowKey) {
	part := rowKey{table: k.table, part: k.part}
	if at, ok := slices.BinarySearch(s.keys[part], k.key); ok {
		s.keys[part] = slices.Delete(s.keys[part], at, at+1)
	}
	delete(s.rows, k)
}

// age adds the rows that ended jobs have left in the past: the state of each of n jobs of a queue, with a value that the system
// wrote for an ended job. The history of these writes is gone.
func (s *store) age(w http.ResponseWriter, r *http.Request) {
	value, _ := io.ReadAll(r.Body)
	n, _ := strconv.Atoi(r.URL.Query().Get("n"))
	queue := croft.QueueID(r.URL.Query().Get("queue"))
	for i := range n {
		s.mu.Lock()
		s.ver++
		version := s.ver
		id := croft.JobID(fmt.Sprintf("%016x", i))
		s.put(wireRow{Table: jobs.StateTable, Part: jobs.Part(queue, id), Key: string(id), Value: value, Ver: &version})
		s.forgotten[jobs.StateTable] = s.ver
		s.mu.Unlock()
	}
	respond(w, http.StatusOK, map[string]any{})
}

func (s *store) register(mux *http.ServeMux) {
	mux.HandleFunc("POST /-/rows-tx", s.transact)
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-parts", s.parts)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("PUT /age", s.age)
}

func respond(w http.ResponseWriter, status int, body any) {
	raw, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// answer returns the fields of each answer; the caller holds s.mu.
func (s *store) answer() map[string]any {
	return map[string]any{"ver": s.ver, "now_ms": time.Since(s.began).Milliseconds()}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		ExpectedRev []wireRow `json:"expected_rev"`
		SetKeys     []wireRow `json:"set_keys"`
		Remove      []wireRow `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		respond(w, http.StatusBadRequest, map[string]any{})
		return
	}
	all := slices.Concat(tx.ExpectedRev, tx.SetKeys, tx.Remove)
	if len(all) == 0 || len(all) > 100 {
		respond(w, http.StatusBadRequest, map[string]any{})
		return
	}
	for _, row := range all {
		if row.Part != all[0].Part {
			respond(w, http.StatusBadRequest, map[string]any{})
			return
		}
	}
	time.Sleep(answerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	current := []wireRow{}
	for _, row := range tx.ExpectedRev {
		stored, ok := s.rows[row.rowKey()]
		version := uint64(0)
		if ok {
			version = *stored.Ver
			current = append(current, stored)
		}
		if row.Ver == nil || *row.Ver != version {
			conflict = true
		}
	}
	if conflict {
		body := s.answer()
		body["rows"] = current
		respond(w, http.StatusPreconditionFailed, body)
		return
	}
	s.ver++
	version := s.ver
	for _, row := range tx.SetKeys {
		stored := wireRow{Table: row.Table, Part: row.Part, Key: row.Key, Value: row.Value, Ver: &version}
		s.put(stored)
		s.history = append(s.history, change{version, stored})
	}
	for _, row := range tx.Remove {
		if _, ok := s.rows[row.rowKey()]; !ok {
			continue
		}
		s.drop(row.rowKey())
		s.history = append(s.history, change{version, wireRow{Table: row.Table, Part: row.Part, Key: row.Key, Ver: &version, Tombstone: true}})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	respond(w, http.StatusOK, s.answer())
}

// maxPage is the number of rows of a page.
const maxPage = 500

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > maxPage {
		limit = maxPage
	}
	time.Sleep(answerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []wireRow{}
	keys := s.keys[rowKey{table: q.Get("table"), part: q.Get("part")}]
	from, _ := slices.BinarySearch(keys, q.Get("from"))
	for _, key := range keys[from:] {
		if len(found) > limit || (q.Get("target") != "" && key >= q.Get("target")) {
			break
		}
		found = append(found, s.rows[rowKey{q.Get("table"), q.Get("part"), key}])
	}
	body := s.answer()
	body["more_pages"] = len(found) > limit
	body["rows"] = found[:min(len(found), limit)]
	respond(w, http.StatusOK, body)
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	time.Sleep(answerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	names := []string{}
	for k, keys := range s.keys {
		if k.table == q.Get("table") && len(keys) > 0 && (!q.Has("after") || k.part > q.Get("after")) {
			names = append(names, k.part)
		}
	}
	slices.Sort(names)
	body := s.answer()
	body["parts"] = slices.Compact(names)
	body["more_pages"] = false
	respond(w, http.StatusOK, body)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	time.Sleep(answerTime)
	for expired := false; ; {
		s.mu.Lock()
		if after < s.forgotten[q.Get("table")] {
			s.mu.Unlock()
			respond(w, http.StatusGone, map[string]any{})
			return
		}
		rows := []wireRow{}
		for _, c := range s.history {
			if c.ver > after && c.row.Table == q.Get("table") {
				rows = append(rows, c.row)
			}
		}
		if len(rows) > 0 || expired {
			body := s.answer()
			body["rows"] = rows
			s.mu.Unlock()
			respond(w, http.StatusOK, body)
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}
