package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"waxwing.example/croft"
	"waxwing.example/croft/ops"
)

// demoTimeout limits the whole demo, in milliseconds.
const demoTimeout = 14 * croft.Second

// Run carries out the steps of the demo, prints the result of each and returns the error of the first that fails.
func Run(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout.Duration())
	defer cancel()
	c, err := newCluster()
	if err != nil {
		return err
	}
	w := &walkthrough{cluster: c, out: out, started: time.Now()}
	return c.runUntilDone(ctx, w.runSteps)
}

// walkthrough carries out the steps of the demo against a cluster and prints their results.
type walkthrough struct {
	*cluster
	mu      sync.Mutex
	out     io.Writer
	started time.Time
}

// runSteps carries out the steps in order and stops at the first error.
func (w *walkthrough) runSteps(ctx context.Context) error {
	steps := []func(context.Context) error{
		w.acceptConfig, w.submitJob, w.sendToAllClasses, w.sendTwice, w.floodPool, w.moveAndMaintain, w.awaitJob,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	w.printf("done")
	return nil
}

// printf prints a line that begins with the time since the start.
func (w *walkthrough) printf(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.out, "%5.1f s  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, values...))
}

// pollInterval is the time between two checks of a condition, in milliseconds.
const pollInterval = 50 * croft.Millis(1)

// waitFor checks a condition until it holds without an error. If the context ends first, it returns an error with the name
// of what was awaited and the last error of the condition.
func waitFor(ctx context.Context, awaited string, condition func() (bool, error)) error {
	for {
		ok, err := condition()
		if ok && err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Join(fmt.Errorf("%s: not seen in time", awaited), err)
		case <-time.After(pollInterval.Duration()):
		}
	}
}

// acceptConfig puts the configuration in force and waits until every VM of both pools is an endpoint.
func (w *walkthrough) acceptConfig(ctx context.Context) error {
	var accepted ops.Accepted
	err := waitFor(ctx, "the first acceptance", func() (bool, error) {
		var err error
		accepted, err = w.client.Accept(ctx, ops.Acceptance{Who: "demo", Config: newConfig()})
		return err == nil, err
	})
	if err != nil {
		return err
	}
	w.printf("configuration %d accepted: 2 pools, 5 services", accepted.Version)
	err = waitFor(ctx, "endpoints in both pools", func() (bool, error) {
		lines, err := w.client.Pools(ctx)
		endpoints := 0
		for _, l := range lines {
			endpoints += l.Endpoints
		}
		return endpoints == 2*vmsPerPool, err
	})
	if err != nil {
		return err
	}
	w.printf("%d VMs serve in %s and %s", 2*vmsPerPool, poolClinics, poolOffice)
	return nil
}

// moveAndMaintain moves one VM and maintains another at the same time.
func (w *walkthrough) moveAndMaintain(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return w.moveVM(ctx) })
	g.Go(func() error { return w.maintainVM(ctx) })
	return g.Wait()
}

// moveVM moves a VM from one pool to the other and waits until it serves there.
func (w *walkthrough) moveVM(ctx context.Context) error {
	id, err := w.servingVM(ctx, poolClinics)
	if err != nil {
		return err
	}
	if err := w.client.Move(ctx, id, poolOffice); err != nil {
		return err
	}
	err = waitFor(ctx, "the end of the move", func() (bool, error) {
		l, err := w.vmLine(ctx, id)
		return l.Pool == poolOffice && l.Phase == croft.PhaseServing, err
	})
	if err != nil {
		return err
	}
	w.printf("moved: %s from %s to %s", id, poolClinics, poolOffice)
	return nil
}

// maintainVM starts the maintenance of a VM and waits until the VM serves again.
func (w *walkthrough) maintainVM(ctx context.Context) error {
	id, err := w.servingVM(ctx, poolOffice)
	if err != nil {
		return err
	}
	if err := w.client.Maintain(ctx, id); err != nil {
		return err
	}
	err = waitFor(ctx, "the end of the maintenance", func() (bool, error) {
		l, err := w.vmLine(ctx, id)
		return l.Maintained > 0 && l.Phase == croft.PhaseServing && l.Status == croft.VMLive, err
	})
	if err != nil {
		return err
	}
	w.printf("maintained: %s, drained, rebooted and serving again", id)
	return nil
}

// submitJob submits a job of a service.
func (w *walkthrough) submitJob(ctx context.Context) error {
	return w.client.Submit(ctx, ops.NewJob{
		ID: "catalogue-1", Service: "intake-north", Urgency: 2,
		Declared: croft.Resources{MilliCores: 4_000, MemoryMB: 8_000},
	})
}

// awaitJob waits until the job is done and prints the VM that it ran on.
func (w *walkthrough) awaitJob(ctx context.Context) error {
	worker := croft.VMID("")
	err := waitFor(ctx, "the end of the job", func() (bool, error) {
		lines, err := w.client.Jobs(ctx)
		if err != nil || len(lines) == 0 {
			return false, err
		}
		worker = lines[0].Worker
		return lines[0].Status == croft.JobDone, nil
	})
	if err != nil {
		return err
	}
	w.printf("placed: job catalogue-1 ran on %s", worker)
	return nil
}

// servingVM returns the first VM of a pool that is serving.
func (w *walkthrough) servingVM(ctx context.Context, pool croft.PoolID) (croft.VMID, error) {
	lines, err := w.client.VMs(ctx)
	if err != nil {
		return "", err
	}
	for _, l := range lines {
		if l.Pool == pool && l.Phase == croft.PhaseServing {
			return l.VM, nil
		}
	}
	return "", fmt.Errorf("no VM serves in pool %s", pool)
}

// vmLine returns the state of a VM as the entry reports it.
func (w *walkthrough) vmLine(ctx context.Context, id croft.VMID) (ops.VMLine, error) {
	lines, err := w.client.VMs(ctx)
	if err != nil {
		return ops.VMLine{}, err
	}
	for _, l := range lines {
		if l.VM == id {
			return l, nil
		}
	}
	return ops.VMLine{}, fmt.Errorf("VM %s has no line", id)
}
