package verbs

import (
	"context"
	"fmt"
	"io"

	"waxwing.example/croft"
)

const maintainUsage = `Starts the maintenance of a VM now: it is drained, rebooted by the platform and returned to its pool.`

// Maintain is the verb that starts the maintenance of a VM.
type Maintain struct {
	EntryFlags
	VM croft.VMID `arg:"positional,required" help:"name of the VM in the platform's list"`
}

// NewMaintain returns the verb maintain before its arguments are parsed.
func NewMaintain() *Maintain { return &Maintain{} }

// Run sends the command to the entry and returns once the entry has accepted it; the maintenance goes on after that.
func (m *Maintain) Run(ctx context.Context, stdout io.Writer) error {
	client, _, err := m.connect()
	if err != nil {
		return err
	}
	defer client.Close()
	if err := client.Maintain(ctx, m.VM); err != nil {
		return err
	}
	_, err = fmt.Fprintf(stdout, "maintenance of %s begun\n", m.VM)
	return err
}
