package fakes

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"

	"github.com/labstack/echo/v5"

	"waxwing.example/croft"
	"waxwing.example/croft/clock"
)

const (
	// DefaultSlots is the maximum number of concurrent runs of an executor.
	DefaultSlots = 8
	// DefaultCrossWaitMs is how long an answer that is to be swapped waits for another one.
	DefaultCrossWaitMs = 200 * croft.Millis(1)
	// maxLedgerRuns limits the runs in an executor's ledger.
	maxLedgerRuns = 400_000
)

// ExecutorOptions configure an Executor.
type ExecutorOptions struct {
	// Clock is the system clock if nil.
	Clock croft.Clock
	VM    croft.VMID
	Boot  uint64
	// Slots is the maximum number of concurrent runs, DefaultSlots if zero.
	Slots int
	// CrossWaitMs is how long an answer waits for one to be swapped with, DefaultCrossWaitMs if zero.
	CrossWaitMs croft.Millis
	Behaviour   Behaviour
	// Journal receives each run as a line of JSON before it starts, so that a killed process leaves a record of it.
	Journal io.Writer
}

// Run is one run of an attempt.
type Run struct {
	Attempt string
	Key     string
	Class   croft.Class
	Boot    uint64
	// Started and Ended are times by the executor's wall clock; Ended is zero while the run goes on.
	Started croft.Millis
	Ended   croft.Millis
	// Cut reports that a restart interrupted the run.
	Cut bool
	// Fault names the injected fault of the answer, empty for none.
	Fault string
}

// Ledger lists every run of an executor since the ledger was last cleared, and counts the refused attempts.
type Ledger struct {
	VM      croft.VMID
	Runs    []Run
	Refused int
	// Forgotten counts the runs that were not recorded because the ledger was full.
	Forgotten int
}

// Status is the current state of an executor.
type Status struct {
	VM      croft.VMID
	Boot    uint64
	Running int
	Leaving bool
}

// Restart is the body of the request that makes an executor start a boot.
type Restart struct{ Boot uint64 }

// Executor is a fake executor: it runs attempts by waiting, records them, and injects faults into its answers.
type Executor struct {
	options ExecutorOptions
	handler http.Handler

	mu            sync.Mutex
	journal       *json.Encoder
	behaviour     Behaviour
	faultRotation faultRotation
	boot          uint64
	running       int
	ledger        Ledger
	// bootCtx is the context of the runs of the current boot; a restart cancels it.
	bootCtx    context.Context
	cancelBoot context.CancelFunc
	// pendingSwap is the answer that waits to be swapped, nil for none.
	pendingSwap *pendingSwap
}

// NewExecutor returns an executor with an empty ledger.
func NewExecutor(o ExecutorOptions) *Executor {
	if o.Clock == nil {
		o.Clock = clock.NewSystem()
	}
	if o.Slots == 0 {
		o.Slots = DefaultSlots
	}
	if o.CrossWaitMs == 0 {
		o.CrossWaitMs = DefaultCrossWaitMs
	}
	if o.Journal == nil {
		o.Journal = io.Discard
	}
	e := &Executor{
		options:   o,
		journal:   json.NewEncoder(o.Journal),
		behaviour: o.Behaviour,
		boot:      o.Boot,
		ledger:    Ledger{VM: o.VM},
	}
	e.bootCtx, e.cancelBoot = context.WithCancel(context.Background())
	e.handler = e.routes()
	return e
}

// Handler returns the executor's HTTP handler.
func (e *Executor) Handler() http.Handler { return e.handler }

func (e *Executor) routes() http.Handler {
	r := echo.New()
	r.POST("/run/:service/:kind", e.handleRun)
	r.GET("/status", func(c *echo.Context) error { return c.JSON(http.StatusOK, e.Status()) })
	r.GET("/ledger", func(c *echo.Context) error { return c.JSON(http.StatusOK, e.Ledger()) })
	r.GET("/behave", func(c *echo.Context) error { return c.JSON(http.StatusOK, e.Behaviour()) })
	r.POST("/behave", e.postBehave)
	r.POST("/reset", func(c *echo.Context) error {
		e.Reset()
		return c.JSON(http.StatusOK, emptyResult{})
	})
	r.POST("/restart", e.postRestart)
	return r
}

// Behaviour returns the executor's behaviour, with the remaining counts.
func (e *Executor) Behaviour() Behaviour {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.behaviour
}

// Behave replaces the executor's behaviour.
func (e *Executor) Behave(b Behaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behaviour = b
}

// Status returns the executor's current state.
func (e *Executor) Status() Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Status{VM: e.options.VM, Boot: e.boot, Running: e.running, Leaving: e.behaviour.Leave}
}

// Ledger returns a copy of the ledger.
func (e *Executor) Ledger() Ledger {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.ledger
	l.Runs = slices.Clone(l.Runs)
	return l
}

// Reset clears the ledger; the ends of runs that are in progress are then not recorded.
func (e *Executor) Reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ledger = Ledger{VM: e.options.VM}
}

// Restart starts a boot with the given number: it interrupts the runs in progress and makes the executor accept attempts
// again.
func (e *Executor) Restart(boot uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelBoot()
	e.bootCtx, e.cancelBoot = context.WithCancel(context.Background())
	e.boot = boot
	e.running = 0
	e.behaviour.Leave = false
}

// AssignBoot sets the number of the boot that has begun with the executor, which a registration assigns. It keeps everything
// else, and the number of a later boot: orders may arrive before the response to the registration.
func (e *Executor) AssignBoot(boot uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.boot = max(e.boot, boot)
}

func (e *Executor) postBehave(c *echo.Context) error {
	b := e.Behaviour() // fields missing from the body keep their values
	if err := decodeBody(c, &b); err != nil {
		return writeResult(c, nil, err)
	}
	if err := b.validate(); err != nil {
		return writeResult(c, nil, rejected(http.StatusBadRequest, "%v", err))
	}
	e.Behave(b)
	return c.JSON(http.StatusOK, b)
}

func (e *Executor) postRestart(c *echo.Context) error {
	var request Restart
	if err := decodeBody(c, &request); err != nil {
		return writeResult(c, nil, err)
	}
	e.Restart(request.Boot)
	return c.JSON(http.StatusOK, e.Status())
}
