package stubs

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/oklog/run"
	"github.com/tailscale/hujson"

	"waxwing.example/croft"
	"waxwing.example/croft/fakes"
)

const platformUsage = "runs a stand-in of the platform until SIGTERM or SIGINT"

// platformArgs are the arguments of the verb platform.
type platformArgs struct {
	Listen      string       `arg:"--listen" help:"address to listen on, an IP number and a port; required"`
	VMs         string       `arg:"--vms" help:"file with the VMs of the list, JSON with comments"`
	Seed        uint64       `arg:"--seed" default:"1" help:"seed for the run times and sizes of tasks"`
	ListLagMs   croft.Millis `arg:"--list-lag-ms" default:"2000" help:"delay of changes in the VM list, in milliseconds"`
	ReportLagMs croft.Millis `arg:"--report-lag-ms" default:"2000" help:"delay of workers' reports, in milliseconds"`
	RebootMs    croft.Millis `arg:"--reboot-ms" default:"1000" help:"time that a VM is unavailable during a reboot, in milliseconds"`
	TaskMs      croft.Millis `arg:"--task-ms" default:"30000" help:"mean run time of a task, in milliseconds"`
}

// Description returns the first line of the help of the verb.
func (platformArgs) Description() string { return "stand platform " + platformUsage + "." }

// platformCommand is the verb platform with its parsed arguments.
type platformCommand struct{ args platformArgs }

// parsePlatform parses and checks the arguments of the verb platform.
func parsePlatform(args []string, o streams) (command, error) {
	c := &platformCommand{}
	if err := parseArgs("platform", &c.args, args, o); err != nil {
		return nil, err
	}
	return c, checkListen(c.args.Listen)
}

// run serves the platform until a signal arrives.
func (c *platformCommand) run(ctx context.Context, o streams) error {
	vms, err := readVMs(c.args.VMs)
	if err != nil {
		return err
	}
	network := newNetwork(c.args.Listen)
	platform := fakes.NewPlatform(fakes.PlatformOptions{
		Seed:        c.args.Seed,
		ListLagMs:   c.args.ListLagMs,
		ReportLagMs: c.args.ReportLagMs,
		RebootMs:    c.args.RebootMs,
		TaskMs:      c.args.TaskMs,
		Dial:        network.Dial,
		VMs:         vms,
	})
	defer platform.Close()
	s, err := newServer(network, c.args.Listen, platform.Handler())
	if err != nil {
		return err
	}
	fmt.Fprintf(o.Out, "platform on http://%s with %d VMs\n", s.listener.Addr(), len(vms))
	var g run.Group
	s.addTo(ctx, &g)
	return ignoreSignal(g.Run())
}

// readVMs reads a list of VMs, JSON with comments; without a file the list is empty.
func readVMs(file string) ([]croft.VM, error) {
	if file == "" {
		return nil, nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("--vms: %w", err)
	}
	plain, err := hujson.Standardize(text)
	if err != nil {
		return nil, fmt.Errorf("--vms: %s: %w", file, err)
	}
	var vms []croft.VM
	if err := json.Unmarshal(plain, &vms); err != nil {
		return nil, fmt.Errorf("--vms: %s: %w", file, err)
	}
	return vms, nil
}
