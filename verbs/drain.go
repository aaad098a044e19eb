package verbs

import (
	"context"
	"fmt"
	"io"

	"waxwing.example/croft"
)

const drainUsage = `Drains a VM and holds it: it takes no new work, finishes what it has, and stays in its pool until the hold
is ended.`

// Drain is the verb that drains a VM and holds it.
type Drain struct {
	Remote
	VM  croft.VMID `arg:"positional,required" help:"VM by its name in the platform's list"`
	End bool       `arg:"--end" help:"end the hold instead"`
}

// NewDrain returns the verb.
func NewDrain() *Drain { return &Drain{} }

// Run asks the entry, which has taken the order once it answers.
func (d *Drain) Run(ctx context.Context, stdout io.Writer) error {
	client, _, err := d.connect()
	if err != nil {
		return err
	}
	defer client.Close()
	if d.End {
		if err := client.Resume(ctx, d.VM); err != nil {
			return err
		}
		_, err = fmt.Fprintf(stdout, "hold of %s ended\n", d.VM)
		return err
	}
	if err := client.Drain(ctx, d.VM); err != nil {
		return err
	}
	_, err = fmt.Fprintf(stdout, "drain of %s begun\n", d.VM)
	return err
}
