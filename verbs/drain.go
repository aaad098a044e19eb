package verbs

import (
	"context"
	"fmt"
	"io"

	"waxwing.example/croft"
)

const drainUsage = `Drains a VM and holds it: the VM takes no new work, finishes the work it has, and stays in its pool until the
hold is ended.`

// Drain is the verb that drains a VM and holds it, or ends the hold.
type Drain struct {
	EntryFlags
	VM  croft.VMID `arg:"positional,required" help:"name of the VM in the platform's list"`
	End bool       `arg:"--end" help:"end the hold instead"`
}

// NewDrain returns the verb drain before its arguments are parsed.
func NewDrain() *Drain { return &Drain{} }

// Run sends the command to the entry and returns once the entry has accepted it; draining goes on after that.
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
