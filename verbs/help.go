package verbs

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

const helpUsage = `Prints the arguments of a verb, or the list of verbs.`

// Help is the verb that prints the help of the others.
type Help struct {
	Verb         string       `arg:"positional" help:"verb to describe"`
	dependencies Dependencies `arg:"-"`
}

// NewHelp returns the verb help before its arguments are parsed.
func NewHelp(dependencies Dependencies) *Help { return &Help{dependencies: dependencies} }

// Run prints the help.
func (h *Help) Run(_ context.Context, stdout io.Writer) error {
	if h.Verb == "" {
		writeOverview(stdout)
		return nil
	}
	verb, found := Lookup(h.Verb)
	if !found {
		return &UsageError{Text: fmt.Sprintf("no verb %q; wax help lists them", h.Verb)}
	}
	parser, err := verb.newParser(verb.New(h.dependencies))
	if err != nil {
		return err
	}
	verb.writeHelp(stdout, parser)
	return nil
}

// writeOverview prints the name of each verb with the first sentence of its usage.
func writeOverview(w io.Writer) {
	fmt.Fprint(w, "Usage: wax VERB [ARGUMENTS]\n\n")
	table := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	for _, v := range Table() {
		first, _, _ := strings.Cut(strings.ReplaceAll(v.Usage, "\n", " "), ". ")
		fmt.Fprintf(table, "  %s\t%s\n", v.Name, strings.TrimSuffix(first, "."))
	}
	if err := table.Flush(); err != nil {
		return
	}
	fmt.Fprint(w, "\nwax help VERB describes one verb, wax reference describes all.\n")
}
