package verbs

import (
	"context"
	"io"
)

const vmsUsage = `Prints a line for each VM: its pool, phase and epoch, its location, and when it was last maintained.`

// VMs is the verb that lists VMs.
type VMs struct {
	EntryFlags
	OutputFlags
}

// NewVMs returns the verb vms before its arguments are parsed.
func NewVMs() *VMs { return &VMs{} }

// Run prints a line for each VM.
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
	return printRecords(stdout, v.OutputFlags, found)
}
