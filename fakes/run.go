package fakes

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v5"

	"waxwing.example/croft"
	"waxwing.example/croft/invoke"
)

// Answered is the body of an executor's answer; it names the attempt, so that a caller recognises the answer to another.
type Answered struct {
	VM      croft.VMID
	Attempt string
	Key     string
	// Digest is the digest of the request's body, in the format of Content-Digest.
	Digest string
}

// attempt is a received request to run something.
type attempt struct {
	ID       string
	Key      string
	Class    croft.Class
	Deadline croft.Millis
	Digest   string
	// Boot is the boot that the attempt is intended for, zero for any.
	Boot uint64
}

// refusal holds why an attempt is refused; its Reason is empty if the attempt is run.
type refusal struct {
	Reason string
	// Leaving reports that the boot which the attempt is intended for accepts no further attempts.
	Leaving bool
}

// reply is an answer before it is sent.
type reply struct {
	Status  int
	Attempt string
	Digest  string
	Leaving bool
	Body    []byte
}

// startedRun is a run that was accepted.
type startedRun struct {
	attempt attempt
	// ledgerIndex is the run's index in the ledger, negative if it was not recorded.
	ledgerIndex int
	ctx         context.Context
}

// handleRun refuses an attempt, or simulates its run and sends the answer with the fault that is next in the rotation.
func (e *Executor) handleRun(c *echo.Context) error {
	a, err := readAttempt(c)
	if err != nil {
		return writeResult(c, nil, err)
	}
	s, why := e.startRun(a)
	if why.Reason != "" {
		return e.sendRefusal(c, a, why)
	}
	e.simulateWork(s)
	f, r, cut := e.finishRun(s)
	if cut {
		panic(http.ErrAbortHandler) // the VM has restarted
	}
	return e.sendReply(c, f, r)
}

func readAttempt(c *echo.Context) (attempt, error) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxRequest))
	if err != nil {
		return attempt{}, rejected(http.StatusBadRequest, "body: %v", err)
	}
	header := c.Request().Header
	a := attempt{
		ID:     header.Get(invoke.HeaderAttempt),
		Key:    header.Get(invoke.HeaderKey),
		Class:  croft.Class{Service: croft.ServiceID(c.Param("service")), Kind: croft.KindID(c.Param("kind"))},
		Digest: invoke.Digest(body),
	}
	deadline, err := headerNumber(header, invoke.HeaderDeadline)
	if err != nil {
		return attempt{}, err
	}
	a.Deadline = croft.Millis(deadline)
	a.Boot, err = headerNumber(header, invoke.HeaderBoot)
	return a, err
}

// headerNumber returns a header's value as a number, zero if it is missing.
func headerNumber(header http.Header, name string) (uint64, error) {
	text := header.Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, rejected(http.StatusBadRequest, "%s: %q is not a number", name, text)
	}
	return n, nil
}

// startRun records a run in the ledger and the journal, or returns why it is refused.
func (e *Executor) startRun(a attempt) (startedRun, refusal) {
	now := e.options.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if why := e.checkAttempt(a, now); why.Reason != "" {
		e.ledger.Refused++
		return startedRun{}, why
	}
	run := Run{
		Attempt: a.ID,
		Key:     a.Key,
		Class:   a.Class,
		Boot:    e.boot,
		Started: now,
	}
	if e.journal.Encode(run) != nil {
		e.ledger.Refused++
		return startedRun{}, refusal{Reason: invoke.ReasonRefused} // tests would miss a run without a journal line
	}
	e.running++
	s := startedRun{attempt: a, ledgerIndex: len(e.ledger.Runs), ctx: e.bootCtx}
	if s.ledgerIndex == maxLedgerRuns {
		e.ledger.Forgotten++
		s.ledgerIndex = -1
		return s, refusal{}
	}
	e.ledger.Runs = append(e.ledger.Runs, run)
	return s, refusal{}
}

// checkAttempt returns why an attempt is refused; its Reason is empty if it may run.
func (e *Executor) checkAttempt(a attempt, now croft.Millis) refusal {
	switch {
	case a.Boot > 0 && a.Boot != e.boot:
		return refusal{Reason: invoke.ReasonBoot, Leaving: a.Boot < e.boot}
	case e.behaviour.Leave && !e.behaviour.TakeWhileLeaving:
		return refusal{Reason: invoke.ReasonLeaving, Leaving: true}
	case e.behaviour.Refuse:
		return refusal{Reason: invoke.ReasonRefused}
	case a.Deadline > 0 && a.Deadline <= now:
		return refusal{Reason: invoke.ReasonDeadline}
	case e.running >= e.options.Slots:
		return refusal{Reason: invoke.ReasonBusy}
	}
	return refusal{}
}

// simulateWork waits for the run time that the behaviour sets, or until a restart.
func (e *Executor) simulateWork(s startedRun) {
	// An error means that a restart cancelled the context, which finishRun checks too.
	_ = e.options.Clock.Sleep(s.ctx, e.Behaviour().WorkMs)
}

// finishRun records the end of a run and returns its fault and answer, and whether a restart interrupted the run.
func (e *Executor) finishRun(s startedRun) (fault, reply, bool) {
	now := e.options.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.faultRotation.next(&e.behaviour)
	cut := s.ctx.Err() != nil
	if !cut {
		e.running--
	}
	// After a reset the index is out of range or that of another run.
	if s.ledgerIndex >= 0 && s.ledgerIndex < len(e.ledger.Runs) && e.ledger.Runs[s.ledgerIndex].Attempt == s.attempt.ID {
		run := &e.ledger.Runs[s.ledgerIndex]
		run.Ended = now
		run.Cut = cut
		run.Fault = string(f)
	}
	return f, e.newReply(s.attempt), cut
}

func (e *Executor) newReply(a attempt) reply {
	body, err := json.Marshal(Answered{VM: e.options.VM, Attempt: a.ID, Key: a.Key, Digest: a.Digest})
	if err != nil {
		panic(err) // cannot happen: strings can always be encoded
	}
	r := reply{Status: http.StatusOK, Attempt: a.ID, Leaving: e.behaviour.Leave, Body: body}
	if e.behaviour.FailAll {
		r.Status = http.StatusInternalServerError
	}
	if !e.behaviour.NoDigest {
		r.Digest = invoke.Digest(body)
	}
	return r
}

func (e *Executor) sendRefusal(c *echo.Context, a attempt, why refusal) error {
	header := c.Response().Header()
	header.Set(invoke.HeaderAttempt, a.ID)
	header.Set(invoke.HeaderOutcome, invoke.OutcomeNotRun)
	header.Set(invoke.HeaderReason, why.Reason)
	if why.Leaving {
		header.Set(invoke.HeaderLeaving, invoke.LeavingTrue)
	}
	return writeProblem(c, http.StatusServiceUnavailable, "not run: "+why.Reason)
}
