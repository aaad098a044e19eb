package fakes

import (
	"fmt"

	"waxwing.example/croft"
)

// Always as a count of Behaviour means every answer.
const Always = -1

// Behaviour is what an executor is told to do; a count is of the next answers, Always for all.
type Behaviour struct {
	// WorkMs is how long a run takes.
	WorkMs croft.Millis
	// Cross swaps the whole answers of two concurrent runs.
	Cross int
	// Late sends an answer a second time on the same connection, LateMs after the first.
	Late int
	// LateMs is the delay of the second sending.
	LateMs croft.Millis
	// Short ends the connection in the middle of an answer whose length was told.
	Short int
	// ShortUntold ends the connection in the middle of an answer without a length.
	ShortUntold int
	// ResetAfterRun ends the connection after the run and before the answer.
	ResetAfterRun int
	// EveryNth spaces the faults above: one answer in so many has one, each where below two.
	EveryNth int
	// NoDigest leaves out Content-Digest.
	NoDigest bool
	// FailAll answers every run with status 500.
	FailAll bool
	// Refuse refuses all attempts as not run.
	Refuse bool
	// Leave says on every answer that the executor leaves, and refuses attempts unless TakeWhileLeaving is set.
	Leave bool
	// TakeWhileLeaving goes on running attempts while Leave is set, so that only its word keeps them away.
	TakeWhileLeaving bool
}

// check returns an error that names the field at fault.
func (b Behaviour) check() error {
	if b.WorkMs < 0 || b.LateMs < 0 || b.EveryNth < 0 {
		return fmt.Errorf("WorkMs, LateMs, EveryNth: %d, %d, %d must not be negative", b.WorkMs, b.LateMs, b.EveryNth)
	}
	return nil
}

// fault is what goes wrong with one answer.
type fault string

// The faults of answers, in the order in which they take turns.
const (
	faultNone    fault = ""
	faultCross   fault = "Cross"
	faultLate    fault = "Late"
	faultShort   fault = "Short"
	faultUntold  fault = "ShortUntold"
	faultReset   fault = "ResetAfterRun"
	faultsOfTurn       = 5
)

// faultTurn decides which answers go wrong.
type faultTurn struct {
	answers int
	turn    int
}

// next returns the fault of the next answer and counts it off.
func (f *faultTurn) next(b *Behaviour) fault {
	f.answers++
	if b.EveryNth > 1 && f.answers%b.EveryNth != 0 {
		return faultNone
	}
	kinds := [faultsOfTurn]fault{faultCross, faultLate, faultShort, faultUntold, faultReset}
	counts := [faultsOfTurn]*int{&b.Cross, &b.Late, &b.Short, &b.ShortUntold, &b.ResetAfterRun}
	for range faultsOfTurn {
		i := f.turn % faultsOfTurn
		f.turn++
		if *counts[i] == 0 {
			continue
		}
		if *counts[i] > 0 {
			*counts[i]--
		}
		return kinds[i]
	}
	return faultNone
}
