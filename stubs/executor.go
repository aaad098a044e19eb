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

// registerInterval is the time between two attempts to register, in milliseconds.
const registerInterval croft.Millis = 200

// executorArgs are the arguments of the verb executor.
type executorArgs struct {
	Listen     string           `arg:"--listen" help:"address to listen on, an IP number and a port; required"`
	VM         croft.VMID       `arg:"--vm" help:"name of its VM; required"`
	Rack       croft.RackID     `arg:"--rack" default:"r1" help:"rack of its VM"`
	DataCentre croft.DataCentre `arg:"--datacentre" default:"a" help:"data centre of its VM"`
	Platform   string           `arg:"--platform" help:"URL of the platform to register with; by default the VM is not registered"`
	Boot       uint64           `arg:"--boot" help:"number of its boot; zero takes the next one in the platform's list, or 1 without a platform"`
	Slots      int              `arg:"--slots" default:"8" help:"maximum number of concurrent runs"`
	WorkMs     croft.Millis     `arg:"--work-ms" default:"20" help:"duration of a run, in milliseconds"`
	Journal    string           `arg:"--journal" help:"file to which each run is appended before it starts"`
	MilliCores int64            `arg:"--milli-cores" default:"16000" help:"processors of its VM, in thousandths of a core"`
	MemoryMB   int64            `arg:"--memory-mb" default:"30720" help:"memory of its VM, in megabytes"`
}

// Description returns the first line of the help of the verb.
func (executorArgs) Description() string { return "stand executor " + executorUsage + "." }

// executorCommand is the verb executor with its parsed arguments.
type executorCommand struct{ args executorArgs }

// parseExecutor parses and checks the arguments of the verb executor.
func parseExecutor(args []string, o streams) (command, error) {
	c := &executorCommand{}
	if err := parseArgs("executor", &c.args, args, o); err != nil {
		return nil, err
	}
	if c.args.VM == "" {
		return nil, errors.New("--vm: is needed")
	}
	return c, checkListen(c.args.Listen)
}

// run serves the executor and, if there is a platform, registers its VM there.
func (c *executorCommand) run(ctx context.Context, o streams) error {
	network := newNetwork(c.args.Listen)
	journal, err := c.openJournal()
	if err != nil {
		return err
	}
	defer func() { _ = journal.Close() }()
	executor := fakes.NewExecutor(fakes.ExecutorOptions{
		VM:        c.args.VM,
		Boot:      c.initialBoot(),
		Slots:     c.args.Slots,
		Behaviour: fakes.Behaviour{WorkMs: c.args.WorkMs},
		Journal:   journal,
	})
	s, err := newServer(network, c.args.Listen, executor.Handler())
	if err != nil {
		return err
	}
	fmt.Fprintf(o.Out, "executor %s on %s\n", c.args.VM, s.listener.Addr())
	var g run.Group
	s.addTo(ctx, &g)
	if c.args.Platform != "" {
		registering, cancel := context.WithCancel(ctx)
		g.Add(func() error { return c.register(registering, network, s, executor, o) }, func(error) { cancel() })
	}
	return ignoreSignal(g.Run())
}

// initialBoot returns the boot of the executor until the VM is registered. With a platform it is --boot, zero by default:
// the platform then assigns the boot at the registration, and until then the executor refuses every attempt that names a
// boot, because it may be intended for an earlier one.
func (c *executorCommand) initialBoot() uint64 {
	if c.args.Platform != "" {
		return c.args.Boot
	}
	return max(1, c.args.Boot)
}

// openJournal opens the journal for appending; without --journal it opens the null device.
func (c *executorCommand) openJournal() (*os.File, error) {
	name := c.args.Journal
	if name == "" {
		name = os.DevNull
	}
	file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("--journal: %w", err)
	}
	return file, nil
}

// register puts the VM in the platform's list, with retries, sets the boot that the platform assigned and waits until the
// context ends.
func (c *executorCommand) register(
	ctx context.Context, network *links.Network, s *server, executor *fakes.Executor, o streams,
) error {
	client := plat.New(plat.Options{Address: c.args.Platform, Dial: network.Dial})
	defer client.Close()
	system := clock.NewSystem()
	for {
		listed, err := client.PutVM(ctx, c.describeVM(s.listener.Addr().String()))
		if err == nil {
			executor.AssignBoot(listed.Boot)
			fmt.Fprintf(o.Out, "executor %s registered as boot %d\n", c.args.VM, listed.Boot)
			<-ctx.Done()
			return ctx.Err()
		}
		fmt.Fprintf(o.Err, "executor %s not registered yet: %v\n", c.args.VM, err)
		if system.Sleep(ctx, registerInterval) != nil {
			return ctx.Err()
		}
	}
}

// describeVM returns the VM as it is to be put in the platform's list.
func (c *executorCommand) describeVM(address string) croft.VM {
	return croft.VM{
		ID:         c.args.VM,
		DataCentre: c.args.DataCentre,
		Rack:       c.args.Rack,
		Address:    address,
		Boot:       c.args.Boot,
		Status:     croft.VMLive,
		Room:       croft.Resources{MilliCores: c.args.MilliCores, MemoryMB: c.args.MemoryMB},
	}
}
