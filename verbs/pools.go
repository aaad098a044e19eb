package verbs

import (
	"context"
	"io"
)

const poolsUsage = `Prints a line for each pool: members by phase, executors that take work, VMs held as buffer, moves,
maintenance due and done, and the entry that plans for it.`

// Pools is the verb that lists pools.
type Pools struct {
	Remote
	Printed
}

// NewPools returns the verb.
func NewPools() *Pools { return &Pools{} }

// Run prints a line for each.
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
	return lines(stdout, p.Printed, found)
}
