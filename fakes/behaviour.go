package fakes

import (
	"fmt"

	"waxwing.example/croft"
)

// Always is the count in Behaviour that applies a fault to every answer.
const Always = -1

// Behaviour sets the run time and the faults of an executor. The count of a fault is how many of the next answers have
// it, or Always.
type Behaviour struct {
	// WorkMs is how long a run takes.
	WorkMs croft.Millis
	// Cross counts the answers that are swapped, headers and body, for the answer of a concurrent run.
	Cross int
	// Late counts the answers that are sent a second time on the same connection, LateMs after the first.
	Late int
	// LateMs is the delay before an answer is sent again.
	LateMs croft.Millis
	// Short counts the answers with Content-Length that are truncated by closing the connection.
	Short int
	// ShortUntold counts the answers without Content-Length that are truncated by closing the connection.
	ShortUntold int
	// ResetAfterRun counts the runs after which the connection is closed without an answer.
	ResetAfterRun int
	// EveryNth gives only every nth answer one of the faults above; 0 and 1 give every answer one.
	EveryNth int
	// NoDigest omits the Content-Digest header.
	NoDigest bool
	// FailAll answers every run with status 500.
	FailAll bool
	// Refuse refuses all attempts without running them.
	Refuse bool
	// Leave adds a leaving notice to every answer, and refuses attempts unless TakeWhileLeaving is set.
	Leave bool
	// TakeWhileLeaving runs attempts even while Leave is set, so that only the leaving notice makes callers choose another
	// executor.
	TakeWhileLeaving bool
}

// validate returns an error if WorkMs, LateMs or EveryNth is negative.
func (b Behaviour) validate() error {
	if b.WorkMs < 0 || b.LateMs < 0 || b.EveryNth < 0 {
		return fmt.Errorf("WorkMs, LateMs, EveryNth: %d, %d, %d must not be negative", b.WorkMs, b.LateMs, b.EveryNth)
	}
	return nil
}

// fault is the kind of fault of an answer.
type fault string

// The kinds of faults of answers, in the order in which faultRotation injects them.
const (
	faultNone        fault = ""
	faultCross       fault = "Cross"
	faultLate        fault = "Late"
	faultShort       fault = "Short"
	faultShortUntold fault = "ShortUntold"
	faultReset       fault = "ResetAfterRun"
	// faultKindCount is the number of kinds of faults, faultNone not included.
	faultKindCount = 5
)

// faultRotation decides which answers have a fault, and alternates between the kinds that Behaviour enables.
type faultRotation struct {
	answerCount int
	nextKind    int
}

// next returns the fault of the next answer and decrements its count in the behaviour.
func (f *faultRotation) next(b *Behaviour) fault {
	f.answerCount++
	if b.EveryNth > 1 && f.answerCount%b.EveryNth != 0 {
		return faultNone
	}
	kinds := [faultKindCount]fault{faultCross, faultLate, faultShort, faultShortUntold, faultReset}
	counts := [faultKindCount]*int{&b.Cross, &b.Late, &b.Short, &b.ShortUntold, &b.ResetAfterRun}
	for range faultKindCount {
		i := f.nextKind % faultKindCount
		f.nextKind++
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
