package verbs

import (
	"context"
	"io"

	"waxwing.example/croft"
)

// Programs are the parts that the command line runs but does not hold; verbs whose part is nil say so.
type Programs struct {
	// Demo runs the quick start and writes what it saw.
	Demo func(ctx context.Context, stdout io.Writer) error
	// Planner generates configurations from answers.
	Planner Planner
}

// Planner generates configurations from a questionnaire's answers.
type Planner interface {
	// Names lists the examples of answers.
	Names() []string
	// Example returns an example as JSON with comments, and whether there is one of that name.
	Example(name string) ([]byte, bool)
	// Generate returns the configuration that answers lead to, the same for the same answers;
	// its error has a line for each fault, with file, line and field.
	Generate(file string, answers []byte) (croft.Config, error)
	// Diff returns a line for each difference between two configurations.
	Diff(old, next croft.Config) []string
}

// Runner is a verb whose exported fields are its arguments.
type Runner interface {
	// Run does the verb's work and writes its data.
	Run(ctx context.Context, stdout io.Writer) error
}

// Verb is one line of the lookup table.
type Verb struct {
	Name string
	// Usage tells in a few sentences what the verb does.
	Usage string
	// New returns the verb with its default arguments.
	New func(programs Programs) Runner
}

// Table returns every verb in the order of the reference page.
func Table() []Verb {
	return []Verb{
		{"demo", demoUsage, func(p Programs) Runner { return NewDemo(p) }},
		{"ask", askUsage, func(p Programs) Runner { return NewAsk(p) }},
		{"plan", planUsage, func(p Programs) Runner { return NewPlan(p) }},
		{"accept", acceptUsage, func(p Programs) Runner { return NewAccept(p) }},
		{"status", statusUsage, func(Programs) Runner { return NewStatus() }},
		{"metrics", metricsUsage, func(Programs) Runner { return NewMetrics() }},
		{"pools", poolsUsage, func(Programs) Runner { return NewPools() }},
		{"vms", vmsUsage, func(Programs) Runner { return NewVMs() }},
		{"move", moveUsage, func(Programs) Runner { return NewMove() }},
		{"drain", drainUsage, func(Programs) Runner { return NewDrain() }},
		{"maintain", maintainUsage, func(Programs) Runner { return NewMaintain() }},
		{"jobs", jobsUsage, func(Programs) Runner { return NewJobs() }},
		{"load", loadUsage, func(Programs) Runner { return NewLoad() }},
		{"why", whyUsage, func(Programs) Runner { return NewWhy() }},
		{"check", checkUsage, func(p Programs) Runner { return NewCheck(p) }},
		{"help", helpUsage, func(p Programs) Runner { return NewHelp(p) }},
		{"reference", referenceUsage, func(p Programs) Runner { return NewReference(p) }},
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
