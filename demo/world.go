package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/oklog/run"

	"waxwing.example/croft"
	"waxwing.example/croft/daemon"
	"waxwing.example/croft/fakes"
	"waxwing.example/croft/ops"
	"waxwing.example/croft/setup"
)

const (
	token = "token-of-the-demo"
	// listLag is how late the platform's VM list is, in milliseconds.
	listLag = croft.Second / 2
	// rebootSpan is how long a VM is away for a reboot, in milliseconds.
	rebootSpan = croft.Second / 2
	// workSpan is how long an executor works on a request, in milliseconds.
	workSpan = 50 * croft.Millis(1)
	// callSpan bounds one call to the operators' address, in milliseconds.
	callSpan = 5 * croft.Second
)

// world is the processes of the demo, all in this one.
type world struct {
	group    run.Group
	platform *fakes.Platform
	daemon   *daemon.Daemon
	settings setup.Entry
	client   *ops.Client
}

func newWorld() (*world, error) {
	w := &world{platform: fakes.NewPlatform(fakes.PlatformOptions{
		ListLagMs: listLag, ReportLagMs: listLag, RebootMs: rebootSpan, TaskMs: croft.Second, Seed: 1,
	})}
	if err := w.addExecutors(); err != nil {
		return nil, err
	}
	address, err := w.serve(w.platform.Handler())
	if err != nil {
		return nil, err
	}
	if err := w.addEntry(address); err != nil {
		return nil, err
	}
	w.client = ops.NewClient(w.settings.Operators, token, callSpan)
	return w, nil
}

// serve adds an HTTP server on a free port and returns its address.
func (w *world) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: callSpan.Duration()}
	w.group.Add(func() error { return s.Serve(l) }, func(error) { _ = s.Close() })
	return l.Addr().String(), nil
}

func (w *world) addExecutors() error {
	for i := range 2 * vmsPerPool {
		id := croft.VMID(fmt.Sprintf("vm%d", i+1))
		executor := fakes.NewExecutor(fakes.ExecutorOptions{
			VM: id, Boot: 1, Behaviour: fakes.Behaviour{WorkMs: workSpan},
		})
		address, err := w.serve(executor.Handler())
		if err != nil {
			return err
		}
		w.platform.PutVM(croft.VM{
			ID: id, DataCentre: "a", Rack: croft.RackID(fmt.Sprintf("r%d", i/4+1)), Address: address, Boot: 1,
			Status: croft.VMLive, Room: croft.Resources{MilliCores: 60_000, MemoryMB: 250_000},
		})
	}
	return nil
}

func (w *world) addEntry(platform string) error {
	addresses, err := freeAddresses(3)
	if err != nil {
		return err
	}
	w.settings = setup.DefaultEntry()
	w.settings.DataCentre = "a"
	w.settings.Callers = addresses[0]
	w.settings.Operators = addresses[1]
	w.settings.Peers = addresses[2]
	w.settings.PlatformAddress = platform
	w.settings.OperatorToken = token
	w.settings.PeerKey = "key-of-the-demo-entries"
	w.settings.Timing.StopWaitMs = 0
	w.daemon, err = daemon.New(w.settings, io.Discard)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.group.Add(func() error { return w.daemon.Run(ctx) }, func(error) { cancel() })
	return nil
}

// freeAddresses finds ports that nothing listens on.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		// All stay open until the last is found, so that none is found twice.
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// run plays a story while all parts run, and stops them with it.
func (w *world) run(ctx context.Context, story func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	w.group.Add(func() error { return story(ctx) }, func(error) { cancel() })
	err := w.group.Run()
	w.platform.Close()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
