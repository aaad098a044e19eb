package verbs

import (
	"context"
	"fmt"
	"io"

	"waxwing.example/croft"
)

const planUsage = `Generates the configuration from a file of answers and prints what differs from the one in force.
Nothing is changed. The version it was compared with goes into accept.`

// Plan is the verb that reviews answers.
type Plan struct {
	Remote
	Printed
	Answers string  `arg:"positional,required" placeholder:"FILE" help:"answers to the questionnaire"`
	planner Planner `arg:"-"`
}

// Review is what plan prints as JSON.
type Review struct {
	// Reviewed is the version in force that the changes are told against.
	Reviewed uint64
	Changes  []string
	Config   croft.Config
}

// NewPlan returns the verb.
func NewPlan(programs Programs) *Plan { return &Plan{planner: programs.Planner} }

// Run prints the differences.
func (p *Plan) Run(ctx context.Context, stdout io.Writer) error {
	next, err := generate(p.planner, p.Answers)
	if err != nil {
		return err
	}
	client, _, err := p.connect()
	if err != nil {
		return err
	}
	defer client.Close()
	inForce, err := client.Config(ctx)
	if err != nil {
		return err
	}
	review := Review{
		Reviewed: inForce.Version,
		Changes:  p.planner.Diff(inForce, next),
		Config:   next,
	}
	if p.JSON {
		return writeJSON(stdout, review)
	}
	return review.write(stdout, p.Answers)
}

func (r Review) write(w io.Writer, file string) error {
	for _, c := range r.Changes {
		fmt.Fprintln(w, c)
	}
	if len(r.Changes) == 0 {
		_, err := fmt.Fprintf(w, "no difference from version %d\n", r.Reviewed)
		return err
	}
	_, err := fmt.Fprintf(w, "\nto accept: wax accept --reviewed %d %s\n", r.Reviewed, file)
	return err
}

// generate reads answers and turns the planner's error into this package's own.
func generate(planner Planner, file string) (croft.Config, error) {
	body, err := readFile(file)
	if err != nil {
		return croft.Config{}, err
	}
	if planner == nil {
		return croft.Config{}, errNotBuiltIn
	}
	config, err := planner.Generate(file, body)
	if err != nil {
		return croft.Config{}, &FileError{Text: err.Error()}
	}
	return config, nil
}
