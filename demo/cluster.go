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
	// listLag is the delay of changes in the platform's VM list and reports, in milliseconds.
	listLag = croft.Second / 2
	// rebootDuration is the time that a VM is unavailable during a reboot, in milliseconds.
	rebootDuration = croft.Second / 2
	// workDuration is the time that an executor takes for a request, in milliseconds.
	workDuration = 50 * croft.Millis(1)
	// callTimeout limits one call to the address for operators and the reading of request headers, in milliseconds.
	callTimeout = 5 * croft.Second
)

// cluster holds the platform stand-in, the executors and the entry, all running in this process.
type cluster struct {
	group    run.Group
	platform *fakes.Platform
	daemon   *daemon.Daemon
	settings setup.Entry
	client   *ops.Client
}

// newCluster creates the cluster; runUntilDone starts the entry and the servers.
func newCluster() (*cluster, error) {
	c := &cluster{platform: fakes.NewPlatform(fakes.PlatformOptions{
		ListLagMs: listLag, ReportLagMs: listLag, RebootMs: rebootDuration, TaskMs: croft.Second, Seed: 1,
	})}
	if err := c.addExecutors(); err != nil {
		return nil, err
	}
	address, err := c.serve(c.platform.Handler())
	if err != nil {
		return nil, err
	}
	if err := c.addEntry(address); err != nil {
		return nil, err
	}
	c.client = ops.NewClient(c.settings.Operators, token, callTimeout)
	return c, nil
}

// serve adds an HTTP server that listens on a free port to the group and returns its address.
func (c *cluster) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: callTimeout.Duration()}
	c.group.Add(func() error { return server.Serve(listener) }, func(error) { _ = server.Close() })
	return listener.Addr().String(), nil
}

// addExecutors adds an executor for each VM and puts the VM in the platform's list.
func (c *cluster) addExecutors() error {
	for i := range 2 * vmsPerPool {
		id := croft.VMID(fmt.Sprintf("vm%d", i+1))
		executor := fakes.NewExecutor(fakes.ExecutorOptions{
			VM: id, Boot: 1, Behaviour: fakes.Behaviour{WorkMs: workDuration},
		})
		address, err := c.serve(executor.Handler())
		if err != nil {
			return err
		}
		c.platform.PutVM(croft.VM{
			ID: id, DataCentre: "a", Rack: croft.RackID(fmt.Sprintf("r%d", i/4+1)), Address: address, Boot: 1,
			Status: croft.VMLive, Room: croft.Resources{MilliCores: 60_000, MemoryMB: 250_000},
		})
	}
	return nil
}

// addEntry adds an entry that uses the platform at the given address.
func (c *cluster) addEntry(platform string) error {
	addresses, err := freeAddresses(3)
	if err != nil {
		return err
	}
	c.settings = setup.DefaultEntry()
	c.settings.DataCentre = "a"
	c.settings.Callers = addresses[0]
	c.settings.Operators = addresses[1]
	c.settings.Peers = addresses[2]
	c.settings.PlatformAddress = platform
	c.settings.OperatorToken = token
	c.settings.PeerKey = "key-of-the-demo-entries"
	c.settings.Timing.StopWaitMs = 0
	c.daemon, err = daemon.New(c.settings, io.Discard)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.group.Add(func() error { return c.daemon.Run(ctx) }, func(error) { cancel() })
	return nil
}

// freeAddresses returns loopback addresses with ports that are not in use.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		// The listeners stay open until all are found, so that no port is returned twice.
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// runUntilDone starts all parts and carries out the steps; it stops everything when the steps end or a part fails.
func (c *cluster) runUntilDone(ctx context.Context, steps func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	c.group.Add(func() error { return steps(ctx) }, func(error) { cancel() })
	err := c.group.Run()
	c.platform.Close()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
