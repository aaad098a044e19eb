package verbs

import (
	"context"
	"fmt"
	"io"

	"waxwing.example/croft"
)

const moveUsage = `Moves a VM to another pool. It takes no new work, finishes what it has, and belongs to its old pool until the
last write of the move.`

// Move is the verb that moves a VM.
type Move struct {
	Remote
	VM croft.VMID   `arg:"positional,required" help:"VM by its name in the platform's list"`
	To croft.PoolID `arg:"positional,required" help:"pool it moves to"`
}

// NewMove returns the verb.
func NewMove() *Move { return &Move{} }

// Run asks the entry, which has taken the order once it answers.
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
