package verbs

import (
	"context"
	"io"

	"waxwing.example/croft"
)

// Dependencies holds the parts of verbs that the main package passes in; a verb whose part is nil fails with a UsageError.
type Dependencies struct {
	// Demo runs the demo and prints its results.
	Demo func(ctx context.Context, stdout io.Writer) error
	// Generator generates configurations from answers to the questionnaire.
	Generator ConfigGenerator
	// Queues decodes configurations of job queues.
	Queues QueueDecoder
}

// ConfigGenerator generates configurations from answers to a questionnaire.
type ConfigGenerator interface {
	// Names returns the names of the examples of answers.
	Names() []string
	// Example returns an example as JSON with comments, and whether there is one of that name.
	Example(name string) ([]byte, bool)
	// Generate returns the configuration generated from answers; equal answers give equal configurations.
	// Its error has a line for each fault, with file, line and field.
	Generate(file string, answers []byte) (croft.Config, error)
	// Diff returns a line for each difference between two configurations.
	Diff(old, next croft.Config) []string
}

// Runner is a verb; the parser of the command line fills its exported fields from the arguments.
type Runner interface {
	// Run carries out the verb and writes its output.
	Run(ctx context.Context, stdout io.Writer) error
}

// Verb is a row of the table of verbs.
type Verb struct {
	Name string
	// Usage describes in a few sentences what the verb does; the first is shown in the list of verbs.
	Usage string
	// New returns the verb with its arguments not yet parsed.
	New func(dependencies Dependencies) Runner
}

// Table returns every verb in the order of the reference page.
func Table() []Verb {
	return []Verb{
		{"demo", demoUsage, func(p Dependencies) Runner { return NewDemo(p) }},
		{"ask", askUsage, func(p Dependencies) Runner { return NewAsk(p) }},
		{"plan", planUsage, func(p Dependencies) Runner { return NewPlan(p) }},
		{"accept", acceptUsage, func(p Dependencies) Runner { return NewAccept(p) }},
		{"status", statusUsage, func(Dependencies) Runner { return NewStatus() }},
		{"metrics", metricsUsage, func(Dependencies) Runner { return NewMetrics() }},
		{"pools", poolsUsage, func(Dependencies) Runner { return NewPools() }},
		{"vms", vmsUsage, func(Dependencies) Runner { return NewVMs() }},
		{"move", moveUsage, func(Dependencies) Runner { return NewMove() }},
		{"drain", drainUsage, func(Dependencies) Runner { return NewDrain() }},
		{"maintain", maintainUsage, func(Dependencies) Runner { return NewMaintain() }},
		{"jobs", jobsUsage, func(Dependencies) Runner { return NewJobs() }},
		{"load", loadUsage, func(Dependencies) Runner { return NewLoad() }},
		{"why", whyUsage, func(Dependencies) Runner { return NewWhy() }},
		{"check", checkUsage, func(p Dependencies) Runner { return NewCheck(p) }},
		{"help", helpUsage, func(p Dependencies) Runner { return NewHelp(p) }},
		{"reference", referenceUsage, func(p Dependencies) Runner { return NewReference(p) }},
	}
}

// Lookup returns the verb of that name and whether there is one.
func Lookup(name string) (Verb, bool) {
	for _, v := range Table() {
		if v.Name == name {
			return v, true
		}
	}
	return Verb{}, false
}
