package verbs

import (
	"context"
	"io"
)

const poolsUsage = `Prints a line for each pool: members by phase, executors that take work, VMs held as buffer, moves,
maintenance due and done, and the entry that is the pool's planner.`

// Pools is the verb that lists pools.
type Pools struct {
	EntryFlags
	OutputFlags
}

// NewPools returns the verb pools before its arguments are parsed.
func NewPools() *Pools { return &Pools{} }

// Run prints a line for each pool.
func (p *Pools) Run(ctx context.Context, stdout io.Writer) error {
	client, _, err := p.connect()
	if err != nil {
		return err
	}
	defer client.Close()
	found, err := client.Pools(ctx)
	if err != nil {
		return err
	}
	return printRecords(stdout, p.OutputFlags, found)
}
