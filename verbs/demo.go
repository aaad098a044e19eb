package verbs

import (
	"context"
	"io"
)

const demoUsage = `Runs entries, a platform stand-in and executors in this process on loopback, sends requests,
moves a VM, takes one through a maintenance, and prints what came of it.`

// Demo is the verb that shows the whole path without any preparation.
type Demo struct {
	run func(ctx context.Context, stdout io.Writer) error
}

// NewDemo returns the verb.
func NewDemo(programs Programs) *Demo { return &Demo{run: programs.Demo} }

// Run runs the demo to its end.
func (d *Demo) Run(ctx context.Context, stdout io.Writer) error {
	if d.run == nil {
		return errNotBuiltIn
	}
	return d.run(ctx, stdout)
}
