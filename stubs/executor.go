package stubs

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/oklog/run"

	"waxwing.example/croft"
	"waxwing.example/croft/clock"
	"waxwing.example/croft/fakes"
	"waxwing.example/croft/links"
	"waxwing.example/croft/plat"
)

const executorUsage = "runs a stand-in of an executor until SIGTERM or SIGINT"

// registerRetry is the time between two tries to register, in milliseconds.
const registerRetry croft.Millis = 200

// executorArgs are the arguments of the verb executor.
type executorArgs struct {
	Listen     string           `arg:"--listen" help:"IP number and port, needed"`
	VM         croft.VMID       `arg:"--vm" help:"name of its VM, needed"`
	Rack       croft.RackID     `arg:"--rack" default:"r1" help:"rack of its VM"`
	DataCentre croft.DataCentre `arg:"--datacentre" default:"a" help:"data centre of its VM"`
	Platform   string           `arg:"--platform" help:"the platform to register with"`
	Boot       uint64           `arg:"--boot" help:"its boot, the next one of the platform's list where zero"`
	Slots      int              `arg:"--slots" default:"8" help:"runs at once"`
	WorkMs     croft.Millis     `arg:"--work-ms" default:"20" help:"how long a run takes"`
	Journal    string           `arg:"--journal" help:"file that each run is appended to before it starts"`
	MilliCores int64            `arg:"--milli-cores" default:"16000" help:"its VM's processors in thousandths"`
	MemoryMB   int64            `arg:"--memory-mb" default:"30720" help:"its VM's memory"`
}

// Description is the first line of the verb's help.
func (executorArgs) Description() string { return "stand executor " + executorUsage + "." }

// executorJob is the verb executor with its arguments.
type executorJob struct{ args executorArgs }

func parseExecutor(args []string, o output) (job, error) {
	j := &executorJob{}
	if err := parse("executor", &j.args, args, o); err != nil {
		return nil, err
	}
	if j.args.VM == "" {
		return nil, errors.New("--vm: is needed")
	}
	return j, checkListen(j.args.Listen)
}

// run serves the executor and registers its VM.
func (j *executorJob) run(ctx context.Context, o output) error {
	network := newNetwork(j.args.Listen)
	journal, err := j.openJournal()
	if err != nil {
		return err
	}
	defer func() { _ = journal.Close() }()
	e := fakes.NewExecutor(fakes.ExecutorOptions{
		VM:        j.args.VM,
		Boot:      j.firstBoot(),
		Slots:     j.args.Slots,
		Behaviour: fakes.Behaviour{WorkMs: j.args.WorkMs},
		Journal:   journal,
	})
	s, err := newServer(network, j.args.Listen, e.Handler())
	if err != nil {
		return err
	}
	fmt.Fprintf(o.Out, "executor %s on %s\n", j.args.VM, s.listener.Addr())
	var g run.Group
	s.serve(ctx, &g)
	if j.args.Platform != "" {
		registering, cancel := context.WithCancel(ctx)
		g.Add(func() error { return j.register(registering, network, s, e, o) }, func(error) { cancel() })
	}
	return stopped(g.Run())
}

// firstBoot returns the boot until the VM is registered: none where the platform is to tell it, so that no attempt
// runs which was meant for an earlier one.
func (j *executorJob) firstBoot() uint64 {
	if j.args.Platform != "" {
		return j.args.Boot
	}
	return max(1, j.args.Boot)
}

// openJournal opens the file of the runs, or what discards them where none was asked for.
func (j *executorJob) openJournal() (*os.File, error) {
	name := j.args.Journal
	if name == "" {
		name = os.DevNull
	}
	file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("--journal: %w", err)
	}
	return file, nil
}

// register puts the VM in the platform's list, trying until the context ends, and then waits for that.
func (j *executorJob) register(
	ctx context.Context, network *links.Network, s *server, e *fakes.Executor, o output,
) error {
	client := plat.New(plat.Options{Address: j.args.Platform, Dial: network.Dial})
	defer client.Close()
	waits := clock.NewSystem()
	for {
		listed, err := client.PutVM(ctx, j.vm(s.listener.Addr().String()))
		if err == nil {
			e.Restart(listed.Boot)
			fmt.Fprintf(o.Out, "executor %s registered as boot %d\n", j.args.VM, listed.Boot)
			<-ctx.Done()
			return ctx.Err()
		}
		fmt.Fprintf(o.Err, "executor %s not registered yet: %v\n", j.args.VM, err)
		if waits.Sleep(ctx, registerRetry) != nil {
			return ctx.Err()
		}
	}
}

func (j *executorJob) vm(address string) croft.VM {
	return croft.VM{
		ID:         j.args.VM,
		DataCentre: j.args.DataCentre,
		Rack:       j.args.Rack,
		Address:    address,
		Boot:       j.args.Boot,
		Status:     croft.VMLive,
		Room:       croft.Resources{MilliCores: j.args.MilliCores, MemoryMB: j.args.MemoryMB},
	}
}
