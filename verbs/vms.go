package verbs

import (
	"context"
	"io"
)

const vmsUsage = `Prints a line for each VM: its pool, phase and epoch, where it is, and when it was last maintained.`

// VMs is the verb that lists VMs.
type VMs struct {
	Remote
	Printed
}

// NewVMs returns the verb.
func NewVMs() *VMs { return &VMs{} }

// Run prints a line for each.
func (v *VMs) Run(ctx context.Context, stdout io.Writer) error {
	client, _, err := v.connect()
	if err != nil {
		return err
	}
	defer client.Close()
	found, err := client.VMs(ctx)
	if err != nil {
		return err
	}
	return lines(stdout, v.Printed, found)
}
