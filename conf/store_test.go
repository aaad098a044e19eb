package conf

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"sort"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"waxwing.example/croft"
)

func TestMain(m *testing.M) {
	flag.Parse()
	standard := map[string]string{
		"rapid.seed": "20261204", "rapid.checks": "1000", "rapid.steps": "40", "rapid.nofailfile": "true",
	}
	for name, value := range standard {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

// fakeStore is a table and an object store in memory with faults that a test sets.
type fakeStore struct {
	rows map[string]croft.Row
	// history holds the rows after each write, for stale reads.
	history []map[string]croft.Row
	objects map[string][]byte
	version uint64
	// staleBy is the number of newest writes that reads do not see.
	staleBy int
	// down makes Get, Commit and PutObject fail.
	down bool
	// lostAnswers is how many of the next commits return an unknown outcome, whether or not they took effect.
	lostAnswers int
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		rows:    map[string]croft.Row{},
		history: []map[string]croft.Row{{}},
		objects: map[string][]byte{},
	}
}

var errStoreDown = &croft.UnavailableError{Reason: "down"}

func (s *fakeStore) visibleRows() map[string]croft.Row {
	return s.history[max(0, len(s.history)-1-s.staleBy)]
}

func (s *fakeStore) Get(_ context.Context, key string) (croft.Row, error) {
	if s.down {
		return croft.Row{}, errStoreDown
	}
	row, found := s.visibleRows()[key]
	if !found {
		return croft.Row{}, croft.ErrNoRow
	}
	return row, nil
}

func (s *fakeStore) Scan(_ context.Context, r croft.Range) ([]croft.Row, error) {
	var rows []croft.Row
	for k, v := range s.visibleRows() {
		if strings.HasPrefix(k, r.Prefix) && k > r.After && v.Version > r.Since {
			rows = append(rows, v)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows[:min(len(rows), r.Limit)], nil
}

func (s *fakeStore) Commit(_ context.Context, ops []croft.Op) (uint64, error) {
	if s.down {
		return 0, errStoreDown
	}
	conflict := &croft.ConflictError{}
	writes := false
	for _, o := range ops {
		writes = writes || o.Kind != croft.OpCheck
		if row := s.rows[o.Key]; row.Version != o.Version {
			row.Key = o.Key
			conflict.Rows = append(conflict.Rows, row)
		}
	}
	if len(conflict.Rows) == 0 && writes {
		s.write(ops)
	}
	if s.lostAnswers > 0 {
		s.lostAnswers--
		return 0, &croft.LostAnswerError{Reason: "lost"}
	}
	if len(conflict.Rows) > 0 {
		return 0, conflict
	}
	return s.version, nil
}

func (s *fakeStore) write(ops []croft.Op) {
	s.version++
	next := map[string]croft.Row{}
	for k, v := range s.rows {
		next[k] = v
	}
	for _, o := range ops {
		delete(next, o.Key)
		if o.Kind == croft.OpPut {
			next[o.Key] = croft.Row{Key: o.Key, Version: s.version, Value: o.Value}
		}
	}
	s.rows = next
	s.history = append(s.history, next)
}

func (s *fakeStore) PutObject(_ context.Context, name string, body []byte) error {
	if s.down {
		return errStoreDown
	}
	s.objects[name] = body
	return nil
}

func (s *fakeStore) GetObject(_ context.Context, name string) ([]byte, error) {
	body, found := s.objects[name]
	if !found {
		return nil, croft.ErrNoObject
	}
	return body, nil
}

func sampleConfig(rate int64, pools int) croft.Config {
	c := croft.Config{
		Teams: []croft.Team{{ID: "t"}},
		Services: []croft.Service{{ID: "s", Team: "t", Pool: "p0", Kinds: []croft.Kind{
			{ID: "k", FloorShare: 100, Deadline: 500, MeanRate: rate},
		}}},
	}
	for i := range pools {
		c.Pools = append(c.Pools, croft.Pool{ID: croft.PoolID(fmt.Sprint("p", i)), Size: 4, MinServing: 2, WaveSize: 1})
	}
	return c
}

// Under lost answers, stale reads, outages and racing operators no version may be skipped or accepted twice, and the
// content of an accepted version must not change. The test accepts and fetches in random order under these faults.
func TestAcceptedVersionsAreConsecutive(t *testing.T) {
	ctx := context.Background()
	counts := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		s := newFakeStore()
		accepted := []croft.Config{{}}
		known := croft.Config{}
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(t *rapid.T) {
				s.staleBy = rapid.SampledFrom([]int{0, 0, 1, 4}).Draw(t, "old")
				s.lostAnswers = rapid.IntRange(0, 2).Draw(t, "lose")
				down := rapid.IntRange(0, 9).Draw(t, "down") == 0
				s.down = down
				reviewed := uint64(max(0, len(accepted)-1-rapid.IntRange(0, 1).Draw(t, "behind")))
				c := sampleConfig(rapid.Int64Range(0, 9).Draw(t, "rate"), rapid.IntRange(1, 4).Draw(t, "pools"))
				who := rapid.SampledFrom([]string{"anna", "omar"}).Draw(t, "who")
				version, err := Accept(ctx, s, s, c, reviewed, who)
				s.lostAnswers, s.down = 0, false
				var race *RaceError
				switch {
				case err == nil && version == uint64(len(accepted)):
					counts["accepted"]++
					accepted = append(accepted, Normalize(c.WithVersion(version)))
				case err == nil:
					counts["repeated"]++
					assert.Equal(t, Hash(accepted[version]), Hash(c.WithVersion(version)))
				case errors.As(err, &race):
					counts["raced"]++
					assert.Assert(t, race.Winner.Version > reviewed)
				default:
					assert.Assert(t, down, "%v", err)
					counts["failed"]++
				}
			},
			"fetch": func(t *rapid.T) {
				s.staleBy = rapid.SampledFrom([]int{0, 0, 1, 4}).Draw(t, "old")
				got, fresh, err := Fetch(ctx, s, s, known)
				assert.NilError(t, err)
				assert.Assert(t, got.Version >= known.Version)
				assert.Equal(t, Hash(got), Hash(accepted[got.Version]))
				if fresh {
					counts["fresh"]++
					assert.Equal(t, int(got.Version), len(accepted)-1)
				}
				known = got
			},
			"forget": func(*rapid.T) { known = croft.Config{} },
		})
	})
	t.Log(counts)
	for _, name := range []string{"accepted", "repeated", "raced", "failed", "fresh"} {
		assert.Assert(t, counts[name] > 0, "never %s", name)
	}
}

func TestFetchAppliesChangeRowsWithoutSnapshot(t *testing.T) {
	ctx := context.Background()
	s := newFakeStore()
	_, err := Accept(ctx, s, s, sampleConfig(1, 2), 0, "anna")
	assert.NilError(t, err)
	first, _, err := Fetch(ctx, s, s, croft.Config{})
	assert.NilError(t, err)
	_, err = Accept(ctx, s, s, sampleConfig(2, 1), 1, "anna")
	assert.NilError(t, err)
	s.objects = nil
	second, fresh, err := Fetch(ctx, s, s, first)
	assert.NilError(t, err)
	assert.Assert(t, fresh)
	assert.Equal(t, Hash(second), Hash(sampleConfig(2, 1).WithVersion(2)))
	var failed *PlatformError
	_, _, err = Fetch(ctx, s, s, croft.Config{})
	assert.Assert(t, errors.As(err, &failed))
}

func TestFetchRejectsADamagedSnapshot(t *testing.T) {
	ctx := context.Background()
	s := newFakeStore()
	_, err := Accept(ctx, s, s, sampleConfig(1, 1), 0, "anna")
	assert.NilError(t, err)
	for name := range s.objects {
		s.objects[name] = Encode(sampleConfig(7, 1).WithVersion(1))
	}
	var damaged *DamagedError
	_, _, err = Fetch(ctx, s, s, croft.Config{})
	assert.Assert(t, errors.As(err, &damaged))
}
