package fakes

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/benbjohnson/immutable"

	"waxwing.example/croft"
	"waxwing.example/croft/clock"
	"waxwing.example/croft/track"
)

// Defaults of PlatformOptions, in milliseconds.
const (
	// DefaultReportEveryMs is the interval between two reports of a worker.
	DefaultReportEveryMs = croft.Second
	// DefaultTaskMs is the mean run time of a task.
	DefaultTaskMs = 30 * croft.Second
	// DefaultDrainLimitMs is the maximum time that a reboot waits for running requests.
	DefaultDrainLimitMs = croft.Minute
)

// PlatformOptions configure a Platform.
type PlatformOptions struct {
	// Clock is the system clock if nil.
	Clock croft.Clock
	// Seed determines the run times and resource usage of tasks.
	Seed uint64
	// ListLagMs is the delay until changes appear in the VM list.
	ListLagMs croft.Millis
	// ReportLagMs is the delay until the reports of workers appear.
	ReportLagMs croft.Millis
	// ReportEveryMs is the interval between two reports of a worker, DefaultReportEveryMs if zero.
	ReportEveryMs croft.Millis
	// RebootMs is how long a VM is offline during a reboot.
	RebootMs croft.Millis
	// DrainLimitMs is the maximum time that a reboot waits for running requests, DefaultDrainLimitMs if zero.
	DrainLimitMs croft.Millis
	// TaskMs is the mean run time of a task, DefaultTaskMs if zero.
	TaskMs croft.Millis
	// Dial connects to the executors; nil uses a net.Dialer.
	Dial track.Dial
	// VMs are the initial VM list.
	VMs []croft.VM
}

func (o PlatformOptions) withDefaults() PlatformOptions {
	if o.Clock == nil {
		o.Clock = clock.NewSystem()
	}
	if o.ReportEveryMs == 0 {
		o.ReportEveryMs = DefaultReportEveryMs
	}
	if o.TaskMs == 0 {
		o.TaskMs = DefaultTaskMs
	}
	if o.DrainLimitMs == 0 {
		o.DrainLimitMs = DefaultDrainLimitMs
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	return o
}

// Platform is a fake of the platform that can be called directly or, through Handler, over HTTP.
type Platform struct {
	options PlatformOptions
	handler http.Handler
	control *controlClient
	// ctx is the context of the background goroutines; Close cancels it.
	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup

	mu     sync.Mutex
	faults Faults
	table  *table
	// frozenRows is the state of the table that reads return while the fault OldReads is set, nil otherwise.
	frozenRows *immutable.SortedMap[string, croft.Row]
	// listFrozenAt is the time at which the fault OldList was set.
	listFrozenAt croft.Millis
	objects      map[string][]byte
	list         vmChangeLog
	workers      map[croft.VMID]*worker
	reports      reportLog
}

var _ croft.Platform = (*Platform)(nil)

// NewPlatform returns a platform with an empty table; the caller must Close it to end its background goroutines.
func NewPlatform(o PlatformOptions) *Platform {
	o = o.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	p := &Platform{
		options: o,
		control: newControlClient(o.Dial),
		ctx:     ctx,
		cancel:  cancel,
		table:   newTable(),
		objects: map[string][]byte{},
		workers: map[croft.VMID]*worker{},
	}
	p.reports.nextAt = o.Clock.Now()
	p.handler = p.routes()
	for _, v := range o.VMs {
		p.PutVM(v)
	}
	return p
}

// Handler returns the platform's HTTP handler.
func (p *Platform) Handler() http.Handler { return p.handler }

// Close cancels the background goroutines and waits until they have ended.
func (p *Platform) Close() {
	p.cancel()
	p.background.Wait()
	p.control.close()
}

// spawn runs work in a goroutine that Close waits for; the work must end when ctx is cancelled.
func (p *Platform) spawn(work func()) {
	p.background.Add(1)
	go func() {
		defer p.background.Done()
		work()
	}()
}

// Get returns a row, or croft.ErrNoRow.
func (p *Platform) Get(_ context.Context, key string) (croft.Row, error) {
	if err := p.injectFaults(); err != nil {
		return croft.Row{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.counts.Reads++
	row, ok := p.readRows().Get(key)
	if !ok {
		return croft.Row{}, croft.ErrNoRow
	}
	return row, nil
}

// Scan returns the rows of a range in key order.
func (p *Platform) Scan(_ context.Context, rows croft.Range) ([]croft.Row, error) {
	if err := p.injectFaults(); err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.table.counts.Reads++
	readable := p.readRows()
	p.mu.Unlock()
	return scan(readable, rows), nil
}

// readRows returns the state of the table that reads use: a former one while the fault OldReads is set.
func (p *Platform) readRows() *immutable.SortedMap[string, croft.Row] {
	if p.frozenRows != nil {
		return p.frozenRows
	}
	return p.table.rows
}

// Commit applies all operations or none and returns the version written.
func (p *Platform) Commit(_ context.Context, ops []croft.Op) (uint64, error) {
	if err := validateOps(ops); err != nil {
		return 0, err
	}
	if err := p.injectFaults(); err != nil {
		return 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	version, conflicts := p.table.commit(ops, p.options.Clock.Now())
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
		p.table.counts.LostAnswers++
		return 0, &croft.LostAnswerError{Reason: "told to lose the answer"}
	}
	if conflicts != nil {
		return 0, &croft.ConflictError{Rows: conflicts}
	}
	return version, nil
}

// PutObject stores an object under a name.
func (p *Platform) PutObject(_ context.Context, name string, body []byte) error {
	if err := p.injectFaults(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[name] = body
	return nil
}

// GetObject returns the body of an object, or croft.ErrNoObject.
func (p *Platform) GetObject(_ context.Context, name string) ([]byte, error) {
	if err := p.injectFaults(); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	body, ok := p.objects[name]
	if !ok {
		return nil, croft.ErrNoObject
	}
	return body, nil
}

// History returns every committed version of the rows whose keys have a prefix, in commit order.
func (p *Platform) History(prefix string) []Written {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.historyOf(prefix)
}

// Counts returns the counts of operations on the table.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.counts
}
