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
	// DefaultSlots is the number of runs at once of an executor.
	DefaultSlots = 8
	// DefaultCrossWaitMs is how long an answer that is to be crossed waits for another.
	DefaultCrossWaitMs = 200 * croft.Millis(1)
	// maxLedger bounds the runs that an executor remembers.
	maxLedger = 400_000
)

// ExecutorOptions set up an Executor.
type ExecutorOptions struct {
	// Clock is the machine's where nil.
	Clock croft.Clock
	VM    croft.VMID
	Boot  uint64
	// Slots is the number of runs at once, DefaultSlots where zero.
	Slots int
	// CrossWaitMs is how long an answer waits for one to be crossed with, DefaultCrossWaitMs where zero.
	CrossWaitMs croft.Millis
	Behaviour   Behaviour
	// Journal gets each run as a line of JSON before it starts, so that a killed process leaves a trace.
	Journal io.Writer
}

// Run is one run of an attempt.
type Run struct {
	Attempt string
	Key     string
	Class   croft.Class
	Boot    uint64
	// Started and Ended are by the executor's wall clock, Ended zero while running.
	Started croft.Millis
	Ended   croft.Millis
	// Cut says that a restart ended the run.
	Cut bool
	// Fault names what went wrong with the answer, empty for nothing.
	Fault string
}

// Ledger is every run of an executor since it was cleared, and a count of refusals.
type Ledger struct {
	VM      croft.VMID
	Runs    []Run
	Refused int
	// Forgotten counts runs beyond the bound of the ledger.
	Forgotten int
}

// Status is what an executor does now.
type Status struct {
	VM      croft.VMID
	Boot    uint64
	Running int
	Leaving bool
}

// Restart is the body that has an executor begin a boot.
type Restart struct{ Boot uint64 }

// Executor is a stand-in of an executor.
type Executor struct {
	options ExecutorOptions
	handler http.Handler

	mu        sync.Mutex
	journal   *json.Encoder
	behaviour Behaviour
	turn      faultTurn
	boot      uint64
	running   int
	ledger    Ledger
	// life ends with a restart, and with it the runs of the boot.
	life context.Context
	end  context.CancelFunc
	// crossing is the answer that waits to be crossed.
	crossing *crossing
}

// NewExecutor returns an executor without runs.
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
	e.life, e.end = context.WithCancel(context.Background())
	e.handler = e.routes()
	return e
}

// Handler returns the executor's HTTP form.
func (e *Executor) Handler() http.Handler { return e.handler }

func (e *Executor) routes() http.Handler {
	r := echo.New()
	r.POST("/run/:service/:kind", e.run)
	r.GET("/status", func(c *echo.Context) error { return c.JSON(http.StatusOK, e.Status()) })
	r.GET("/ledger", func(c *echo.Context) error { return c.JSON(http.StatusOK, e.Ledger()) })
	r.GET("/behave", func(c *echo.Context) error { return c.JSON(http.StatusOK, e.Behaviour()) })
	r.POST("/behave", e.postBehave)
	r.POST("/reset", func(c *echo.Context) error {
		e.Reset()
		return c.JSON(http.StatusOK, done{})
	})
	r.POST("/restart", e.postRestart)
	return r
}

// Behaviour returns what the executor is told to do.
func (e *Executor) Behaviour() Behaviour {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.behaviour
}

// Behave replaces what the executor is told to do.
func (e *Executor) Behave(b Behaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behaviour = b
}

// Status returns what the executor does now.
func (e *Executor) Status() Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Status{VM: e.options.VM, Boot: e.boot, Running: e.running, Leaving: e.behaviour.Leave}
}

// Ledger returns a copy of the runs.
func (e *Executor) Ledger() Ledger {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.ledger
	l.Runs = slices.Clone(l.Runs)
	return l
}

// Reset clears the ledger; runs still going on are not entered again.
func (e *Executor) Reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ledger = Ledger{VM: e.options.VM}
}

// Restart begins a boot: it cuts what still runs and takes work again.
func (e *Executor) Restart(boot uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.end()
	e.life, e.end = context.WithCancel(context.Background())
	e.boot = boot
	e.running = 0
	e.behaviour.Leave = false
}

func (e *Executor) postBehave(c *echo.Context) error {
	b := e.Behaviour() // fields that the body leaves out stay as they are
	if err := decode(c, &b); err != nil {
		return answer(c, nil, err)
	}
	if err := b.check(); err != nil {
		return answer(c, nil, rejected(http.StatusBadRequest, "%v", err))
	}
	e.Behave(b)
	return c.JSON(http.StatusOK, b)
}

func (e *Executor) postRestart(c *echo.Context) error {
	var asked Restart
	if err := decode(c, &asked); err != nil {
		return answer(c, nil, err)
	}
	e.Restart(asked.Boot)
	return c.JSON(http.StatusOK, e.Status())
}
