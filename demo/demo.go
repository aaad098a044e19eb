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

// span bounds the whole demo, in milliseconds.
const span = 14 * croft.Second

// Run plays the demo and tells of it on the output; it returns an error where a step did not end well.
func Run(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, span.Duration())
	defer cancel()
	w, err := newWorld()
	if err != nil {
		return err
	}
	s := &story{world: w, out: out, began: time.Now()}
	return w.run(ctx, s.tell)
}

// story is the steps of the demo.
type story struct {
	*world
	mu    sync.Mutex
	out   io.Writer
	began time.Time
}

func (s *story) tell(ctx context.Context) error {
	steps := []func(context.Context) error{
		s.accept, s.submit, s.answer, s.repeat, s.flood, s.shift, s.job,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	s.say("done")
	return nil
}

func (s *story) say(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.out, "%5.1f s  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, values...))
}

// pollSpan is the time between two looks at something awaited, in milliseconds.
const pollSpan = 50 * croft.Millis(1)

// until looks again and again until what is awaited is there.
func until(ctx context.Context, what string, there func() (bool, error)) error {
	for {
		ok, err := there()
		if ok && err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Join(fmt.Errorf("%s: not seen in time", what), err)
		case <-time.After(pollSpan.Duration()):
		}
	}
}

// accept puts the configuration in force and waits for the endpoints.
func (s *story) accept(ctx context.Context) error {
	var accepted ops.Accepted
	err := until(ctx, "the first acceptance", func() (bool, error) {
		var err error
		accepted, err = s.client.Accept(ctx, ops.Acceptance{Who: "demo", Config: config()})
		return err == nil, err
	})
	if err != nil {
		return err
	}
	s.say("configuration %d accepted: 2 pools, 5 services", accepted.Version)
	err = until(ctx, "endpoints in both pools", func() (bool, error) {
		lines, err := s.client.Pools(ctx)
		endpoints := 0
		for _, l := range lines {
			endpoints += l.Endpoints
		}
		return endpoints == 2*vmsPerPool, err
	})
	if err != nil {
		return err
	}
	s.say("%d VMs serve in %s and %s", 2*vmsPerPool, clinics, office)
	return nil
}

// shift moves one VM and maintains another at the same time.
func (s *story) shift(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.move(ctx) })
	g.Go(func() error { return s.maintain(ctx) })
	return g.Wait()
}

// move takes a VM from one pool to the other.
func (s *story) move(ctx context.Context) error {
	id, err := s.vmOf(ctx, clinics)
	if err != nil {
		return err
	}
	if err := s.client.Move(ctx, id, office); err != nil {
		return err
	}
	err = until(ctx, "the end of the move", func() (bool, error) {
		l, err := s.line(ctx, id)
		return l.Pool == office && l.Phase == croft.PhaseServing, err
	})
	if err != nil {
		return err
	}
	s.say("moved: %s from %s to %s", id, clinics, office)
	return nil
}

// maintain takes a VM through a maintenance.
func (s *story) maintain(ctx context.Context) error {
	id, err := s.vmOf(ctx, office)
	if err != nil {
		return err
	}
	if err := s.client.Maintain(ctx, id); err != nil {
		return err
	}
	err = until(ctx, "the end of the maintenance", func() (bool, error) {
		l, err := s.line(ctx, id)
		return l.Maintained > 0 && l.Phase == croft.PhaseServing && l.Status == croft.VMLive, err
	})
	if err != nil {
		return err
	}
	s.say("maintained: %s, drained, rebooted and serving again", id)
	return nil
}

// submit asks for a job of a service.
func (s *story) submit(ctx context.Context) error {
	return s.client.Submit(ctx, ops.NewJob{
		ID: "catalogue-1", Service: "intake-north", Urgency: 2,
		Declared: croft.Resources{MilliCores: 4_000, MemoryMB: 8_000},
	})
}

// job waits until the job was placed on a VM of its service's pool and ran.
func (s *story) job(ctx context.Context) error {
	worker := croft.VMID("")
	err := until(ctx, "the end of the job", func() (bool, error) {
		lines, err := s.client.Jobs(ctx)
		if err != nil || len(lines) == 0 {
			return false, err
		}
		worker = lines[0].Worker
		return lines[0].Status == croft.JobDone, nil
	})
	if err != nil {
		return err
	}
	s.say("placed: job catalogue-1 ran on %s", worker)
	return nil
}

// vmOf returns a serving VM of a pool.
func (s *story) vmOf(ctx context.Context, pool croft.PoolID) (croft.VMID, error) {
	lines, err := s.client.VMs(ctx)
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

func (s *story) line(ctx context.Context, id croft.VMID) (ops.VMLine, error) {
	lines, err := s.client.VMs(ctx)
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
