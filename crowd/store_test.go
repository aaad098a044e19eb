package crowd

import (
	"encoding/json"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"waxwing.example/croft/jobs"
)

// row is a row of the store on the wire.
type row struct {
	Table string  `json:"table"`
	Part  string  `json:"part"`
	Key   string  `json:"key"`
	Value []byte  `json:"value,omitempty"`
	Ver   *uint64 `json:"ver,omitempty"`
	Gone  bool    `json:"tombstone,omitempty"`
}

func (r row) id() string { return r.Table + "/" + r.Part + "/" + r.Key }

// store is a stand-in of the platform's store that keeps its rows in memory.
type store struct {
	address string

	mu      sync.Mutex
	ver     uint64
	rows    map[string]row
	changed chan struct{}
	// submitted has when the record of each job was last written.
	submitted map[string]time.Time
}

// newStore starts a stand-in that has the configuration.
func newStore(t *testing.T, config string) *store {
	return newStoreBehind(t, config, func(h http.Handler) http.Handler { return h })
}

// newStoreBehind starts a stand-in that has the configuration, behind a handler that passes calls to it.
func newStoreBehind(t *testing.T, config string, front func(http.Handler) http.Handler) *store {
	s := &store{rows: map[string]row{}, changed: make(chan struct{}), submitted: map[string]time.Time{}}
	s.put(row{Table: "op", Key: "config", Value: []byte(config)})
	mux := http.NewServeMux()
	mux.HandleFunc("/-/rows-get", s.get)
	mux.HandleFunc("/-/rows-parts", s.parts)
	mux.HandleFunc("/-/rows-feed", s.feed)
	mux.HandleFunc("/-/rows-tx", s.commit)
	server := httptest.NewServer(front(mux))
	t.Cleanup(server.Close)
	s.address = server.Listener.Addr().String()
	return s
}

// copyJob copies the rows of a job to other IDs, as if it had been submitted so often.
func (s *store) copyJob(id string, ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range slices.Collect(maps.Values(s.rows)) {
		if r.Key != id {
			continue
		}
		for _, other := range ids {
			r.Key = other
			s.put(r)
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row as the next version; the caller holds the lock, or the store is not in use yet.
func (s *store) put(r row) {
	s.ver++
	ver := s.ver
	r.Ver = &ver
	s.rows[r.id()] = r
	if r.Table == jobs.JobTable && !r.Gone {
		s.submitted[r.Key] = time.Now()
	}
}

// respond sends rows and the present version; the caller holds the lock.
func (s *store) respond(w http.ResponseWriter, status int, rows []row, parts []string) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"ver": s.ver, "rows": rows, "parts": parts})
}

// find returns the rows of a table for which keep holds, by key; the caller holds the lock.
func (s *store) find(table string, keep func(row) bool) []row {
	var out []row
	for _, r := range s.rows {
		if r.Table == table && keep(r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b row) int { return strings.Compare(a.id(), b.id()) })
	return out
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	rows := s.find(q.Get("table"), func(r row) bool {
		return !r.Gone && r.Part == q.Get("part") && r.Key >= q.Get("from") && (q.Get("target") == "" || r.Key < q.Get("target"))
	})
	s.respond(w, http.StatusOK, rows, nil)
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var parts []string
	for _, r := range s.find(r.URL.Query().Get("table"), func(r row) bool { return !r.Gone }) {
		if !slices.Contains(parts, r.Part) {
			parts = append(parts, r.Part)
		}
	}
	s.respond(w, http.StatusOK, nil, parts)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for waiting := true; ; {
		rows := s.find(q.Get("table"), func(r row) bool { return *r.Ver > after })
		if len(rows) > 0 || !waiting {
			s.respond(w, http.StatusOK, rows, nil)
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			waiting = false
		}
		s.mu.Lock()
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []row `json:"expected_rev"`
		Set      []row `json:"set_keys"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflicts []row
	for _, want := range tx.Expected {
		have, ok := s.rows[want.id()]
		version := uint64(0)
		if ok && !have.Gone {
			version = *have.Ver
		}
		if version != *want.Ver {
			want.Ver, want.Value = &version, have.Value
			conflicts = append(conflicts, want)
		}
	}
	if len(conflicts) > 0 {
		s.respond(w, http.StatusPreconditionFailed, conflicts, nil)
		return
	}
	for _, r := range tx.Set {
		s.put(r)
	}
	for _, r := range tx.Remove {
		r.Gone = true
		s.put(r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	s.respond(w, http.StatusOK, nil, nil)
}
