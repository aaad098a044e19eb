package verbs

import (
	"context"
	"fmt"
	"io"
	"strings"

	"waxwing.example/croft/setup"
)

const referenceUsage = `Prints the reference page: every verb, every settings field and the exit codes, as Markdown.`

// standSection is the section on the stand-ins, which have no settings file.
const standSection = `
## Settings of the stand-ins

The stand-ins of the platform and of executors take arguments instead of a settings file: see
` + "`stand platform --help`" + ` and ` + "`stand executor --help`" + `.
`

// Reference is the verb that prints the reference page.
type Reference struct {
	dependencies Dependencies `arg:"-"`
}

// NewReference returns the verb reference before its arguments are parsed.
func NewReference(dependencies Dependencies) *Reference {
	return &Reference{dependencies: dependencies}
}

// Run prints the page.
func (r *Reference) Run(_ context.Context, stdout io.Writer) error {
	fmt.Fprint(stdout, "# Reference\n\nPrinted by `wax reference`; a test checks that it is up to date.\n\n## Verbs\n")
	for _, v := range Table() {
		if err := r.writeVerb(stdout, v); err != nil {
			return err
		}
	}
	writeExitCodes(stdout)
	writeSettings(stdout, "entry", "an entry", setup.DefaultEntry())
	writeSettings(stdout, "wax", "the command line", setup.DefaultWax())
	_, err := fmt.Fprint(stdout, standSection)
	return err
}

// writeVerb writes the section of one verb: its usage and its arguments.
func (r *Reference) writeVerb(w io.Writer, v Verb) error {
	parser, err := v.newParser(v.New(r.dependencies))
	if err != nil {
		return err
	}
	var help strings.Builder
	parser.WriteHelp(&help)
	fmt.Fprintf(w, "\n### wax %s\n\n%s\n\n```text\n%s```\n", v.Name, v.Usage, help.String())
	return nil
}

func writeExitCodes(w io.Writer) {
	fmt.Fprint(w, "\n## Exit codes\n\n| code | meaning |\n|---|---|\n")
	for _, e := range exitMeanings() {
		fmt.Fprintf(w, "| %d | %s |\n", e.Code, e.Meaning)
	}
}

// writeSettings writes a table of the fields of a settings struct; kind is the value of --as that checks such a file.
func writeSettings(w io.Writer, kind, program string, defaults any) {
	fmt.Fprintf(w, "\n## Settings of %s\n\n", program)
	fmt.Fprintf(w, "JSON with comments, checked by `wax check --as %s FILE`.\n\n", kind)
	fmt.Fprint(w, "| field | default | meaning |\n|---|---|---|\n")
	for _, f := range setup.Fields(defaults) {
		fallback := "must be given"
		if f.Default != "" {
			fallback = "`" + f.Default + "`"
		}
		meaning := f.Doc
		if f.Rule != "" {
			meaning += " Rule: " + f.Rule + "."
		}
		fmt.Fprintf(w, "| `%s` | %s | %s |\n", f.Path, fallback, meaning)
	}
}
