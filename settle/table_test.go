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

// step is what happens to one commit on its way.
type step int

// The ways of a commit.
const (
	stepThrough step = iota
	// stepLostAfter does it and loses the answer.
	stepLostAfter
	// stepLostBefore loses the request, so that it is not done.
	stepLostBefore
	// stepRefused is refused as unavailable.
	stepRefused
	// stepLostThenOther does it, loses the answer, and lets another writer write over it.
	stepLostThenOther
	// stepOtherFirst lets another writer write first and loses the request.
	stepOtherFirst
	steps
)

// script is a table whose commits meet what a list says, and go through after its end.
type script struct {
	*fakes.Platform
	steps []step
	// done counts the commits of the caller that took effect.
	done int
	// other writes over the row that the caller writes.
	other func()
}

func (s *script) Commit(ctx context.Context, ops []croft.Op) (uint64, error) {
	now := stepThrough
	if len(s.steps) > 0 {
		now, s.steps = s.steps[0], s.steps[1:]
	}
	lost := &croft.LostAnswerError{Reason: "scripted"}
	if now == stepOtherFirst {
		s.other()
	}
	if now == stepLostBefore || now == stepOtherFirst {
		return 0, lost
	}
	if now == stepRefused {
		return 0, &croft.UnavailableError{Reason: "scripted"}
	}
	version, err := s.Platform.Commit(ctx, ops)
	if err == nil {
		s.done++
	}
	if now == stepThrough {
		return version, err
	}
	if now == stepLostThenOther {
		s.other()
	}
	return 0, lost
}

// instant is a clock on which every wait is over at once, and the context ends after so many.
type instant struct {
	*clock.Manual
	waits int
}

func (i *instant) Sleep(_ context.Context, _ croft.Millis) error {
	if i.waits == 0 {
		return context.DeadlineExceeded
	}
	i.waits--
	return nil
}

func value(epoch int, nonce string) []byte {
	return fmt.Appendf(nil, `{"Epoch":%d,"Nonce":%q}`, epoch, nonce)
}

// trial commits one row over a script and returns what the caller was told, and whether the write took effect.
func trial(way []step, withEpoch bool) (int, error) {
	ctx := context.Background()
	p := fakes.NewPlatform(fakes.PlatformOptions{Clock: clock.NewManual(0)})
	defer p.Close()
	epoch := 0
	if withEpoch {
		epoch = 1
	}
	version, _ := p.Commit(ctx, []croft.Op{{Kind: croft.OpPut, Key: "k", Value: value(epoch, "start")}})
	others := 0
	s := &script{Platform: p, steps: way}
	s.other = func() {
		row, _ := p.Get(ctx, "k")
		others++
		next := value(0, fmt.Sprint("other", others))
		if withEpoch {
			next = value(epoch+others+s.done, fmt.Sprint("other", others))
		}
		_, _ = p.Commit(ctx, []croft.Op{{Kind: croft.OpPut, Key: "k", Version: row.Version, Value: next}})
	}
	mine := value(0, "mine")
	if withEpoch {
		mine = value(epoch+1, "mine")
	}
	table := settle.New(s, &instant{Manual: clock.NewManual(0), waits: 5})
	_, err := table.Commit(ctx, []croft.Op{{Kind: croft.OpPut, Key: "k", Version: version, Value: mine}})
	return s.done, err
}

func TestSettledOutcomesAreTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		way := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
			return step(rapid.IntRange(0, int(steps)-1).Draw(t, "step"))
		}), 0, 8).Draw(t, "way")
		done, err := trial(way, rapid.Bool().Draw(t, "withEpoch"))
		var conflict *croft.ConflictError
		var unavailable *croft.UnavailableError
		assert.Assert(t, done <= 1)
		switch {
		case err == nil:
			assert.Equal(t, done, 1)
		case errors.As(err, &conflict), errors.As(err, &unavailable):
			assert.Equal(t, done, 0)
		}
	})
}

func TestLostAnswersBecomeDefinite(t *testing.T) {
	var conflict *croft.ConflictError
	var lost *croft.LostAnswerError
	done, err := trial([]step{stepLostAfter, stepLostBefore, stepRefused}, false)
	assert.NilError(t, err)
	assert.Equal(t, done, 1)

	done, err = trial([]step{stepLostBefore, stepRefused}, false)
	assert.NilError(t, err)
	assert.Equal(t, done, 1)

	_, err = trial([]step{stepOtherFirst}, true)
	assert.Assert(t, errors.As(err, &conflict))

	_, err = trial([]step{stepLostThenOther}, true)
	assert.Assert(t, errors.As(err, &lost))

	_, err = trial([]step{stepOtherFirst}, false)
	assert.Assert(t, errors.As(err, &lost))

	_, err = trial([]step{stepLostAfter, stepLostAfter, stepLostAfter, stepLostAfter, stepLostAfter, stepLostAfter}, true)
	assert.Assert(t, errors.As(err, &lost))
}

func TestLostFencedCommitIsAConflictWhereOnlyTheFenceMoved(t *testing.T) {
	ctx := context.Background()
	p := fakes.NewPlatform(fakes.PlatformOptions{Clock: clock.NewManual(0)})
	defer p.Close()
	fence, err := p.Commit(ctx, []croft.Op{{Kind: croft.OpPut, Key: "plan", Value: []byte("a")}})
	assert.NilError(t, err)
	_, err = p.Commit(ctx, []croft.Op{{Kind: croft.OpPut, Key: "plan", Version: fence, Value: []byte("b")}})
	assert.NilError(t, err)
	table := settle.New(&script{Platform: p, steps: []step{stepLostBefore}}, &instant{Manual: clock.NewManual(0), waits: 5})
	_, err = table.Commit(ctx, []croft.Op{
		{Kind: croft.OpCheck, Key: "plan", Version: fence},
		{Kind: croft.OpPut, Key: "k", Value: []byte("mine")},
	})
	var conflict *croft.ConflictError
	assert.Assert(t, errors.As(err, &conflict))
}
