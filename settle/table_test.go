package settle_test

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
	"waxwing.example/croft/fakes"
	"waxwing.example/croft/settle"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "4"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// fate is what happens to one call of Commit.
type fate int

// The fates of a commit.
const (
	// fateAnswered handles the commit normally.
	fateAnswered fate = iota
	// fateAppliedAnswerLost handles the commit normally but loses the answer.
	fateAppliedAnswerLost
	// fateRequestLost loses the request, so that the commit is not applied.
	fateRequestLost
	// fateUnavailable refuses the commit with an UnavailableError.
	fateUnavailable
	// fateAppliedThenOverwritten handles the commit normally but loses the answer, and another writer
	// overwrites the row.
	fateAppliedThenOverwritten
	// fateOverwrittenRequestLost loses the request after another writer has overwritten the row.
	fateOverwrittenRequestLost
	// fateCount is the number of fates.
	fateCount
)

// scriptedTable is a table whose commits meet the listed fates in turn, and are handled normally after the end
// of the list.
type scriptedTable struct {
	*fakes.Platform
	fates []fate
	// applied counts the caller's commits that took effect.
	applied int
	// overwrite writes the caller's row as another writer.
	overwrite func()
}

func (s *scriptedTable) Commit(ctx context.Context, ops []croft.Op) (uint64, error) {
	next := fateAnswered
	if len(s.fates) > 0 {
		next, s.fates = s.fates[0], s.fates[1:]
	}
	lost := &croft.LostAnswerError{Reason: "scripted"}
	if next == fateOverwrittenRequestLost {
		s.overwrite()
	}
	if next == fateRequestLost || next == fateOverwrittenRequestLost {
		return 0, lost
	}
	if next == fateUnavailable {
		return 0, &croft.UnavailableError{Reason: "scripted"}
	}
	version, err := s.Platform.Commit(ctx, ops)
	if err == nil {
		s.applied++
	}
	if next == fateAnswered {
		return version, err
	}
	if next == fateAppliedThenOverwritten {
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

// commitOnce commits one row through a settle.Table whose underlying commits meet the given fates. It returns
// how many of them took effect and the error that the caller got.
func commitOnce(fates []fate, withEpoch bool) (int, error) {
	ctx := context.Background()
	p := fakes.NewPlatform(fakes.PlatformOptions{Clock: clock.NewManual(0)})
	defer p.Close()
	epoch := 0
	if withEpoch {
		epoch = 1
	}
	version, _ := p.Commit(ctx, []croft.Op{{Kind: croft.OpPut, Key: "k", Value: value(epoch, "start")}})
	overwrites := 0
	s := &scriptedTable{Platform: p, fates: fates}
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
	table := settle.New(s, &instantClock{Manual: clock.NewManual(0), sleepsLeft: 5})
	_, err := table.Commit(ctx, []croft.Op{{Kind: croft.OpPut, Key: "k", Version: version, Value: own}})
	return s.applied, err
}

// Whatever happens to the commits, the outcome reported to the caller must be true, and the write applied at
// most once.
func TestReportedOutcomesMatchWhatHappened(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fates := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fate {
			return fate(rapid.IntRange(0, int(fateCount)-1).Draw(t, "fate"))
		}), 0, 8).Draw(t, "fates")
		applied, err := commitOnce(fates, rapid.Bool().Draw(t, "withEpoch"))
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
	applied, err := commitOnce([]fate{fateAppliedAnswerLost, fateRequestLost, fateUnavailable}, false)
	assert.NilError(t, err)
	assert.Equal(t, applied, 1)

	applied, err = commitOnce([]fate{fateRequestLost, fateUnavailable}, false)
	assert.NilError(t, err)
	assert.Equal(t, applied, 1)

	_, err = commitOnce([]fate{fateOverwrittenRequestLost}, true)
	assert.Assert(t, errors.As(err, &conflict))

	_, err = commitOnce([]fate{fateAppliedThenOverwritten}, true)
	assert.Assert(t, errors.As(err, &lost))

	_, err = commitOnce([]fate{fateOverwrittenRequestLost}, false)
	assert.Assert(t, errors.As(err, &lost))

	_, err = commitOnce([]fate{fateAppliedAnswerLost, fateAppliedAnswerLost, fateAppliedAnswerLost, fateAppliedAnswerLost, fateAppliedAnswerLost, fateAppliedAnswerLost}, true)
	assert.Assert(t, errors.As(err, &lost))
}

// A commit whose request was lost is a conflict, not an unknown outcome, where its repetition meets only a changed
// version of the row that it checks: its own row is unchanged.
func TestLostCommitIsConflictIfOnlyFencingRowChanged(t *testing.T) {
	ctx := context.Background()
	p := fakes.NewPlatform(fakes.PlatformOptions{Clock: clock.NewManual(0)})
	defer p.Close()
	planVersion, err := p.Commit(ctx, []croft.Op{{Kind: croft.OpPut, Key: "plan", Value: []byte("a")}})
	assert.NilError(t, err)
	_, err = p.Commit(ctx, []croft.Op{{Kind: croft.OpPut, Key: "plan", Version: planVersion, Value: []byte("b")}})
	assert.NilError(t, err)
	table := settle.New(&scriptedTable{Platform: p, fates: []fate{fateRequestLost}}, &instantClock{Manual: clock.NewManual(0), sleepsLeft: 5})
	_, err = table.Commit(ctx, []croft.Op{
		{Kind: croft.OpCheck, Key: "plan", Version: planVersion},
		{Kind: croft.OpPut, Key: "k", Value: []byte("mine")},
	})
	var conflict *croft.ConflictError
	assert.Assert(t, errors.As(err, &conflict))
}
