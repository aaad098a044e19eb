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
	Listen      string       `arg:"--listen" help:"IP number and port, needed"`
	VMs         string       `arg:"--vms" help:"JSON file with the VMs of the list"`
	Seed        uint64       `arg:"--seed" default:"1" help:"decides run times and sizes of tasks"`
	ListLagMs   croft.Millis `arg:"--list-lag-ms" default:"2000" help:"how late the VM list is"`
	ReportLagMs croft.Millis `arg:"--report-lag-ms" default:"2000" help:"how late workers' reports are"`
	RebootMs    croft.Millis `arg:"--reboot-ms" default:"1000" help:"how long a VM is away for a reboot"`
	TaskMs      croft.Millis `arg:"--task-ms" default:"30000" help:"mean run time of a task"`
}

// Description is the first line of the verb's help.
func (platformArgs) Description() string { return "stand platform " + platformUsage + "." }

// platformJob is the verb platform with its arguments.
type platformJob struct{ args platformArgs }

func parsePlatform(args []string, o output) (job, error) {
	j := &platformJob{}
	if err := parse("platform", &j.args, args, o); err != nil {
		return nil, err
	}
	return j, checkListen(j.args.Listen)
}

// run serves the platform.
func (j *platformJob) run(ctx context.Context, o output) error {
	vms, err := readVMs(j.args.VMs)
	if err != nil {
		return err
	}
	network := newNetwork(j.args.Listen)
	p := fakes.NewPlatform(fakes.PlatformOptions{
		Seed:        j.args.Seed,
		ListLagMs:   j.args.ListLagMs,
		ReportLagMs: j.args.ReportLagMs,
		RebootMs:    j.args.RebootMs,
		TaskMs:      j.args.TaskMs,
		Dial:        network.Dial,
		VMs:         vms,
	})
	defer p.Close()
	s, err := newServer(network, j.args.Listen, p.Handler())
	if err != nil {
		return err
	}
	fmt.Fprintf(o.Out, "platform on http://%s with %d VMs\n", s.listener.Addr(), len(vms))
	var g run.Group
	s.serve(ctx, &g)
	return stopped(g.Run())
}

// readVMs reads a list of VMs in JSON with comments, empty for no file.
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
