package verbs

import (
	"context"
	"fmt"
	"io"

	"waxwing.example/croft"
)

const planUsage = `Generates a configuration from a file of answers and prints its differences from the one in force.
Nothing is changed. The version in force is printed, to be passed to accept.`

// Plan is the verb that compares a generated configuration with the one in force.
type Plan struct {
	EntryFlags
	OutputFlags
	Answers   string          `arg:"positional,required" placeholder:"FILE" help:"answers to the questionnaire"`
	generator ConfigGenerator `arg:"-"`
}

// Review is the JSON output of plan.
type Review struct {
	// Reviewed is the version in force that the configuration was compared with.
	Reviewed uint64
	// Changes has a line for each difference.
	Changes []string
	// Config is the configuration generated.
	Config croft.Config
}

// NewPlan returns the verb plan before its arguments are parsed.
func NewPlan(dependencies Dependencies) *Plan { return &Plan{generator: dependencies.Generator} }

// Run prints the differences and the command that accepts them.
func (p *Plan) Run(ctx context.Context, stdout io.Writer) error {
	next, err := generate(p.generator, p.Answers)
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
		Changes:  p.generator.Diff(inForce, next),
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

// generate returns the configuration generated from a file of answers; invalid answers give a FileError.
func generate(generator ConfigGenerator, file string) (croft.Config, error) {
	body, err := readFile(file)
	if err != nil {
		return croft.Config{}, err
	}
	if generator == nil {
		return croft.Config{}, errNotAvailable
	}
	config, err := generator.Generate(file, body)
	if err != nil {
		return croft.Config{}, &FileError{Text: err.Error()}
	}
	return config, nil
}
