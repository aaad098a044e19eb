package fakes

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/benbjohnson/immutable"

	"waxwing.example/croft"
	"waxwing.example/croft/clock"
	"waxwing.example/croft/sent"
)

// Defaults of PlatformOptions.
const (
	// DefaultReportEveryMs is the time between two reports of a worker, in milliseconds.
	DefaultReportEveryMs = croft.Second
	// DefaultTaskMs is the mean run time of a task, in milliseconds.
	DefaultTaskMs = 30 * croft.Second
	// DefaultDrainLimitMs is the longest a reboot waits for running requests, in milliseconds.
	DefaultDrainLimitMs = croft.Minute
)

// PlatformOptions set up a Platform.
type PlatformOptions struct {
	// Clock is the machine's where nil.
	Clock croft.Clock
	// Seed decides the run times and sizes of tasks.
	Seed uint64
	// ListLagMs is how late changes appear in the VM list.
	ListLagMs croft.Millis
	// ReportLagMs is how late workers' reports appear.
	ReportLagMs croft.Millis
	// ReportEveryMs is the time between two reports of a worker, DefaultReportEveryMs where zero.
	ReportEveryMs croft.Millis
	// RebootMs is how long a VM is away for a reboot.
	RebootMs croft.Millis
	// DrainLimitMs is the longest a reboot waits for running requests, DefaultDrainLimitMs where zero.
	DrainLimitMs croft.Millis
	// TaskMs is the mean run time of a task, DefaultTaskMs where zero.
	TaskMs croft.Millis
	// Dial reaches the executors, net.Dialer's way where nil.
	Dial sent.Dial
	// VMs are in the list from the start.
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

// Platform is a stand-in of the platform, usable directly and, by Handler, over HTTP.
type Platform struct {
	options PlatformOptions
	handler http.Handler
	control *control
	// life ends with Close, and with it the work in the background.
	life context.Context
	end  context.CancelFunc
	work sync.WaitGroup

	mu     sync.Mutex
	faults Faults
	table  *table
	frozen *immutable.SortedMap[string, croft.Row]
	// listFrozen is where OldList keeps the VM list.
	listFrozen croft.Millis
	objects    map[string][]byte
	list       vmLog
	workers    map[croft.VMID]*worker
	reports    reportLog
}

var _ croft.Platform = (*Platform)(nil)

// NewPlatform returns a platform with an empty table; Close ends its work in the background.
func NewPlatform(o PlatformOptions) *Platform {
	o = o.withDefaults()
	life, end := context.WithCancel(context.Background())
	p := &Platform{
		options: o,
		control: newControl(o.Dial),
		life:    life,
		end:     end,
		table:   newTable(),
		objects: map[string][]byte{},
		workers: map[croft.VMID]*worker{},
	}
	p.reports.next = o.Clock.Now()
	p.handler = p.routes()
	for _, v := range o.VMs {
		p.PutVM(v)
	}
	return p
}

// Handler returns the platform's HTTP form.
func (p *Platform) Handler() http.Handler { return p.handler }

// Close ends the work in the background and waits for it.
func (p *Platform) Close() {
	p.end()
	p.work.Wait()
	p.control.close()
}

// spawn runs work in the background until Close.
func (p *Platform) spawn(work func()) {
	p.work.Add(1)
	go func() {
		defer p.work.Done()
		work()
	}()
}

// Get returns a row, or croft.ErrNoRow.
func (p *Platform) Get(_ context.Context, key string) (croft.Row, error) {
	if err := p.admit(); err != nil {
		return croft.Row{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.counts.Reads++
	row, ok := p.readable().Get(key)
	if !ok {
		return croft.Row{}, croft.ErrNoRow
	}
	return row, nil
}

// Scan returns rows in the order of their keys.
func (p *Platform) Scan(_ context.Context, rows croft.Range) ([]croft.Row, error) {
	if err := p.admit(); err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.table.counts.Reads++
	readable := p.readable()
	p.mu.Unlock()
	return scan(readable, rows), nil
}

// readable is the state of the table that reads answer from.
func (p *Platform) readable() *immutable.SortedMap[string, croft.Row] {
	if p.frozen != nil {
		return p.frozen
	}
	return p.table.rows
}

// Commit does all operations or none and returns the version written.
func (p *Platform) Commit(_ context.Context, ops []croft.Op) (uint64, error) {
	if err := checkOps(ops); err != nil {
		return 0, err
	}
	if err := p.admit(); err != nil {
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

// PutObject stores a body under a name.
func (p *Platform) PutObject(_ context.Context, name string, body []byte) error {
	if err := p.admit(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[name] = body
	return nil
}

// GetObject returns the body, or croft.ErrNoObject.
func (p *Platform) GetObject(_ context.Context, name string) ([]byte, error) {
	if err := p.admit(); err != nil {
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

// History returns every committed version of the rows of a prefix, in order.
func (p *Platform) History(prefix string) []Written {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.written(prefix)
}

// Counts returns the numbers of operations on the table.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.counts
}
