package verbs

import (
	"context"
	"fmt"
	"io"

	"waxwing.example/croft/ops"
)

const acceptUsage = `Generates a configuration from a file of answers and puts it in force everywhere, if the version that was
reviewed with plan is still in force. If another acceptance came first, nothing is changed, and its operator
and version are printed.`

// Accept is the verb that puts a configuration in force.
type Accept struct {
	EntryFlags
	OutputFlags
	Answers   string          `arg:"positional,required" placeholder:"FILE" help:"answers to the questionnaire"`
	Reviewed  uint64          `arg:"--reviewed,required" placeholder:"VERSION" help:"version in force that plan compared with"`
	generator ConfigGenerator `arg:"-"`
}

// NewAccept returns the verb accept before its arguments are parsed.
func NewAccept(dependencies Dependencies) *Accept { return &Accept{generator: dependencies.Generator} }

// Run accepts the configuration and prints the version it was given.
func (a *Accept) Run(ctx context.Context, stdout io.Writer) error {
	config, err := generate(a.generator, a.Answers)
	if err != nil {
		return err
	}
	client, settings, err := a.connect()
	if err != nil {
		return err
	}
	defer client.Close()
	accepted, err := client.Accept(ctx, ops.Acceptance{
		Reviewed: a.Reviewed,
		Who:      settings.Who,
		Config:   config,
	})
	if err != nil {
		return err
	}
	if a.JSON {
		return writeJSON(stdout, accepted)
	}
	_, err = fmt.Fprintf(stdout, "accepted as version %d\n", accepted.Version)
	return err
}
