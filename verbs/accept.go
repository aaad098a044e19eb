package verbs

import (
	"context"
	"fmt"
	"io"

	"waxwing.example/croft/ops"
)

const acceptUsage = `Puts the configuration generated from a file of answers in force everywhere, if the version that was
reviewed with plan still is. Where another acceptance came first nothing is changed, and the winner is told.`

// Accept is the verb that puts a configuration in force.
type Accept struct {
	Remote
	Printed
	Answers  string  `arg:"positional,required" placeholder:"FILE" help:"answers to the questionnaire"`
	Reviewed uint64  `arg:"--reviewed,required" placeholder:"VERSION" help:"version in force that plan told the differences from"`
	planner  Planner `arg:"-"`
}

// NewAccept returns the verb.
func NewAccept(programs Programs) *Accept { return &Accept{planner: programs.Planner} }

// Run accepts the configuration and prints its version.
func (a *Accept) Run(ctx context.Context, stdout io.Writer) error {
	config, err := generate(a.planner, a.Answers)
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
