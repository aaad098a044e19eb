package verbs

import (
	"context"
	"fmt"
	"io"

	"waxwing.example/croft"
)

const maintainUsage = `Takes a VM through a maintenance now: it is drained, rebooted by the platform and taken back into its pool.`

// Maintain is the verb that takes a VM through a maintenance.
type Maintain struct {
	Remote
	VM croft.VMID `arg:"positional,required" help:"VM by its name in the platform's list"`
}

// NewMaintain returns the verb.
func NewMaintain() *Maintain { return &Maintain{} }

// Run asks the entry, which has taken the order once it answers.
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
