package verbs

import (
	"context"
	"fmt"
	"io"

	"waxwing.example/croft"
)

const moveUsage = `Moves a VM to another pool. The VM takes no new work, finishes the work it has, and belongs to its old pool until
the last write of the move.`

// Move is the verb that moves a VM to another pool.
type Move struct {
	EntryFlags
	VM croft.VMID   `arg:"positional,required" help:"name of the VM in the platform's list"`
	To croft.PoolID `arg:"positional,required" help:"pool to move it to"`
}

// NewMove returns the verb move before its arguments are parsed.
func NewMove() *Move { return &Move{} }

// Run sends the command to the entry and returns once the entry has accepted it; the move goes on after that.
func (m *Move) Run(ctx context.Context, stdout io.Writer) error {
	client, _, err := m.connect()
	if err != nil {
		return err
	}
	defer client.Close()
	if err := client.Move(ctx, m.VM, m.To); err != nil {
		return err
	}
	_, err = fmt.Fprintf(stdout, "move of %s to %s begun\n", m.VM, m.To)
	return err
}
