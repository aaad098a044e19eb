package commit_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"waxwing.example/croft"
	"waxwing.example/croft/clock"
	"waxwing.example/croft/commit"
	"waxwing.example/croft/fakes"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "4"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// commitFault is a fault, or none, that is injected into one call of Commit.
type commitFault int

// The faults of a commit.
const (
	// faultNone handles the commit normally.
	faultNone commitFault = iota
	// faultAnswerLost handles the commit normally but loses the answer.
	faultAnswerLost
	// faultRequestLost loses the request, so that the commit is not applied.
	faultRequestLost
	// faultUnavailable refuses the commit with an UnavailableError.
	faultUnavailable
	// faultAnswerLostThenOverwritten handles the commit normally but loses the answer, and another writer
	// overwrites the row.
	faultAnswerLostThenOverwritten
	// faultOverwrittenThenRequestLost loses the request after another writer has overwritten the row.
	faultOverwrittenThenRequestLost
	// faultCount is the number of values above.
	faultCount
)

// scriptedTable is a table that injects the listed faults into its commits in turn, and none after the end of the
// list.
type scriptedTable struct {
	*fakes.Platform
	faults []commitFault
	// applied counts the caller's commits that took effect.
	applied int
	// overwrite writes the caller's row as another writer.
	overwrite func()
}

func (s *scriptedTable) Commit(ctx context.Context, ops []croft.Op) (uint64, error) {
	next := faultNone
	if len(s.faults) > 0 {
		next, s.faults = s.faults[0], s.faults[1:]
	}
	lost := &croft.LostAnswerError{Reason: "scripted"}
	if next == faultOverwrittenThenRequestLost {
		s.overwrite()
	}
	if next == faultRequestLost || next == faultOverwrittenThenRequestLost {
		return 0, lost
	}
	if next == faultUnavailable {
		return 0, &croft.UnavailableError{Reason: "scripted"}
	}
	version, err := s.Platform.Commit(ctx, ops)
	if err == nil {
		s.applied++
	}
	if next == faultNone {
		return version, err
	}
	if next == faultAnswerLostThenOverwritten {
		s.overwrite()
	}
	return 0, lost
}

// instantClock is a clock on which Sleep returns at once; after sleepsLeft calls it returns the error of a context
// that has ended.
type instantClock struct {
	*clock.Manual
	sleepsLeft int
}

func (i *instantClock) Sleep(_ context.Context, _ croft.Millis) error {
	if i.sleepsLeft == 0 {
		return context.DeadlineExceeded
	}
	i.sleepsLeft--
	return nil
}

// value returns a row value with an epoch and a nonce.
func value(epoch int, nonce string) []byte {
	return fmt.Appendf(nil, `{"Epoch":%d,"Nonce":%q}`, epoch, nonce)
}

// commitOnce commits one row through a commit.Table whose underlying commits have the given faults. It returns
// how many of them took effect and the error that the caller got.
func commitOnce(faults []commitFault, withEpoch bool) (int, error) {
	ctx := context.Background()
	p := fakes.NewPlatform(fakes.PlatformOptions{Clock: clock.NewManual(0)})
	defer p.Close()
	epoch := 0
	if withEpoch {
		epoch = 1
	}
	version, _ := p.Commit(ctx, []croft.Op{{Kind: croft.OpPut, Key: "k", Value: value(epoch, "start")}})
	overwrites := 0
	s := &scriptedTable{Platform: p, faults: faults}
	s.overwrite = func() {
		row, _ := p.Get(ctx, "k")
		overwrites++
		next := value(0, fmt.Sprint("other", overwrites))
		if withEpoch {
			next = value(epoch+overwrites+s.applied, fmt.Sprint("other", overwrites))
		}
		_, _ = p.Commit(ctx, []croft.Op{{Kind: croft.OpPut, Key: "k", Version: row.Version, Value: next}})
	}
	own := value(0, "mine")
	if withEpoch {
		own = value(epoch+1, "mine")
	}
	table := commit.New(s, &instantClock{Manual: clock.NewManual(0), sleepsLeft: 5})
	_, err := table.Commit(ctx, []croft.Op{{Kind: croft.OpPut, Key: "k", Version: version, Value: own}})
	return s.applied, err
}

// Whatever happens to the commits, the outcome reported to the caller must be true, and the write applied at
// most once.
func TestReportedOutcomesMatchWhatHappened(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		faults := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) commitFault {
			return commitFault(rapid.IntRange(0, int(faultCount)-1).Draw(t, "fault"))
		}), 0, 8).Draw(t, "faults")
		applied, err := commitOnce(faults, rapid.Bool().Draw(t, "withEpoch"))
		var conflict *croft.ConflictError
		var unavailable *croft.UnavailableError
		assert.Assert(t, applied <= 1)
		switch {
		case err == nil:
			assert.Equal(t, applied, 1)
		case errors.As(err, &conflict), errors.As(err, &unavailable):
			assert.Equal(t, applied, 0)
		}
	})
}

func TestLostAnswersAreResolved(t *testing.T) {
	var conflict *croft.ConflictError
	var lost *croft.LostAnswerError
	applied, err := commitOnce([]commitFault{faultAnswerLost, faultRequestLost, faultUnavailable}, false)
	assert.NilError(t, err)
	assert.Equal(t, applied, 1)

	applied, err = commitOnce([]commitFault{faultRequestLost, faultUnavailable}, false)
	assert.NilError(t, err)
	assert.Equal(t, applied, 1)

	_, err = commitOnce([]commitFault{faultOverwrittenThenRequestLost}, true)
	assert.Assert(t, errors.As(err, &conflict))

	_, err = commitOnce([]commitFault{faultAnswerLostThenOverwritten}, true)
	assert.Assert(t, errors.As(err, &lost))

	_, err = commitOnce([]commitFault{faultOverwrittenThenRequestLost}, false)
	assert.Assert(t, errors.As(err, &lost))

	_, err = commitOnce([]commitFault{faultAnswerLost, faultAnswerLost, faultAnswerLost, faultAnswerLost, faultAnswerLost, faultAnswerLost}, true)
	assert.Assert(t, errors.As(err, &lost))
}

// A commit whose request was lost is a conflict, not an unknown outcome, if its repetition meets only a changed
// version of the row that it checks: its own row is unchanged.
func TestLostCommitIsConflictIfOnlyFencingRowChanged(t *testing.T) {
	ctx := context.Background()
	p := fakes.NewPlatform(fakes.PlatformOptions{Clock: clock.NewManual(0)})
	defer p.Close()
	planVersion, err := p.Commit(ctx, []croft.Op{{Kind: croft.OpPut, Key: "plan", Value: []byte("a")}})
	assert.NilError(t, err)
	_, err = p.Commit(ctx, []croft.Op{{Kind: croft.OpPut, Key: "plan", Version: planVersion, Value: []byte("b")}})
	assert.NilError(t, err)
	table := commit.New(&scriptedTable{Platform: p, faults: []commitFault{faultRequestLost}}, &instantClock{Manual: clock.NewManual(0), sleepsLeft: 5})
	_, err = table.Commit(ctx, []croft.Op{
		{Kind: croft.OpCheck, Key: "plan", Version: planVersion},
		{Kind: croft.OpPut, Key: "k", Value: []byte("mine")},
	})
	var conflict *croft.ConflictError
	assert.Assert(t, errors.As(err, &conflict))
}
