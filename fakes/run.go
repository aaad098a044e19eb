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

// Answered is the body of an executor's answer, by which a caller knows its own.
type Answered struct {
	VM      croft.VMID
	Attempt string
	Key     string
	// Digest is of the request's body, in the form of Content-Digest.
	Digest string
}

// attempt is a request as it came.
type attempt struct {
	ID       string
	Key      string
	Class    croft.Class
	Deadline croft.Millis
	Digest   string
	// Boot is the boot that the attempt is meant for, zero for any.
	Boot uint64
}

// refusal is why an attempt does not run.
type refusal struct {
	Reason string
	// Leaving says that the boot which was meant takes no further work.
	Leaving bool
}

// reply is a whole answer before it is sent.
type reply struct {
	Status  int
	Attempt string
	Digest  string
	Leaving bool
	Body    []byte
}

// started is a run that was taken in.
type started struct {
	attempt attempt
	// entry is the run's place in the ledger, below zero where it has none.
	entry int
	life  context.Context
}

func (e *Executor) run(c *echo.Context) error {
	a, err := readAttempt(c)
	if err != nil {
		return answer(c, nil, err)
	}
	s, why := e.start(a)
	if why.Reason != "" {
		return e.refuse(c, a, why)
	}
	e.work(s)
	f, r, cut := e.finish(s)
	if cut {
		panic(http.ErrAbortHandler) // the VM has restarted
	}
	return e.send(c, f, r)
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

// headerNumber returns a header's number, zero where it is not there.
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

// start enters a run in the ledger, or returns the reason why it does not run.
func (e *Executor) start(a attempt) (started, refusal) {
	now := e.options.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if why := e.refusal(a, now); why.Reason != "" {
		e.ledger.Refused++
		return started{}, why
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
		return started{}, refusal{Reason: invoke.ReasonRefused} // a run that leaves no trace would escape the tests
	}
	e.running++
	s := started{attempt: a, entry: len(e.ledger.Runs), life: e.life}
	if s.entry == maxLedger {
		e.ledger.Forgotten++
		s.entry = -1
		return s, refusal{}
	}
	e.ledger.Runs = append(e.ledger.Runs, run)
	return s, refusal{}
}

func (e *Executor) refusal(a attempt, now croft.Millis) refusal {
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

func (e *Executor) work(s started) {
	// The error is that of a restart, which finish sees too.
	_ = e.options.Clock.Sleep(s.life, e.Behaviour().WorkMs)
}

// finish ends a run in the ledger and makes its answer; it reports whether a restart cut the run.
func (e *Executor) finish(s started) (fault, reply, bool) {
	now := e.options.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.turn.next(&e.behaviour)
	cut := s.life.Err() != nil
	if !cut {
		e.running--
	}
	// After a reset the place is another run's, or there is none.
	if s.entry >= 0 && s.entry < len(e.ledger.Runs) && e.ledger.Runs[s.entry].Attempt == s.attempt.ID {
		run := &e.ledger.Runs[s.entry]
		run.Ended = now
		run.Cut = cut
		run.Fault = string(f)
	}
	return f, e.reply(s.attempt), cut
}

func (e *Executor) reply(a attempt) reply {
	body, err := json.Marshal(Answered{VM: e.options.VM, Attempt: a.ID, Key: a.Key, Digest: a.Digest})
	if err != nil {
		panic(err) // strings always encode
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

func (e *Executor) refuse(c *echo.Context, a attempt, why refusal) error {
	header := c.Response().Header()
	header.Set(invoke.HeaderAttempt, a.ID)
	header.Set(invoke.HeaderOutcome, invoke.OutcomeNotRun)
	header.Set(invoke.HeaderReason, why.Reason)
	if why.Leaving {
		header.Set(invoke.HeaderLeaving, invoke.LeavingTrue)
	}
	return problem(c, http.StatusServiceUnavailable, "not run: "+why.Reason)
}
