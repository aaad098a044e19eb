package verbs

import (
	"context"
	"io"
)

const demoUsage = `Runs an entry, a stand-in of the platform and executors in this process on loopback, sends requests, moves a
VM, maintains another, runs a job, and prints the results.`

// Demo is the verb that runs the demo, which needs neither settings nor a platform.
type Demo struct {
	run func(ctx context.Context, stdout io.Writer) error
}

// NewDemo returns the verb demo before its arguments are parsed.
func NewDemo(dependencies Dependencies) *Demo { return &Demo{run: dependencies.Demo} }

// Run runs the demo to its end.
func (d *Demo) Run(ctx context.Context, stdout io.Writer) error {
	if d.run == nil {
		return errNotAvailable
	}
	return d.run(ctx, stdout)
}
