package verbs

import (
	"context"
	"fmt"
	"io"
	"strings"

	"waxwing.example/croft/setup"
)

const referenceUsage = `Prints the reference page: every verb, every settings field and the exit codes, as Markdown.`

// standText tells where the arguments of the stand-ins are.
const standText = `
## Settings of the stand-ins

The stand-ins of platform and executor take arguments in place of a settings file: ` + "`stand platform --help`" + ` and
` + "`stand executor --help`" + `.
`

// Reference is the verb that prints the reference page.
type Reference struct {
	programs Programs `arg:"-"`
}

// NewReference returns the verb.
func NewReference(programs Programs) *Reference { return &Reference{programs: programs} }

// Run prints the page.
func (r *Reference) Run(_ context.Context, stdout io.Writer) error {
	fmt.Fprint(stdout, "# Reference\n\nPrinted by `wax reference`; a test keeps it so.\n\n## Verbs\n")
	for _, v := range Table() {
		if err := r.verb(stdout, v); err != nil {
			return err
		}
	}
	writeExitCodes(stdout)
	writeSettings(stdout, "entry", "an entry", setup.DefaultEntry())
	writeSettings(stdout, "wax", "the command line", setup.DefaultWax())
	_, err := fmt.Fprint(stdout, standText)
	return err
}

func (r *Reference) verb(w io.Writer, v Verb) error {
	parser, err := v.parser(v.New(r.programs))
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
	for _, e := range exitCodes() {
		fmt.Fprintf(w, "| %d | %s |\n", e.Code, e.Meaning)
	}
}

func writeSettings(w io.Writer, kind, of string, defaults any) {
	fmt.Fprintf(w, "\n## Settings of %s\n\n", of)
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
