package verbs

import (
	"context"
	"encoding/json"
	"io"
	"strings"

	"github.com/tailscale/hujson"
)

const askUsage = `Prints the questionnaire filled with the answers of an example, as JSON with comments. The file is to be
edited and kept in version control.`

// Ask is the verb that prints the questionnaire with the answers of an example.
type Ask struct {
	OutputFlags
	Example   string          `arg:"positional" help:"name of the example, by default the first"`
	generator ConfigGenerator `arg:"-"`
}

// NewAsk returns the verb ask before its arguments are parsed.
func NewAsk(dependencies Dependencies) *Ask { return &Ask{generator: dependencies.Generator} }

// Run prints the answers; as JSON they have no comments.
func (a *Ask) Run(_ context.Context, stdout io.Writer) error {
	if a.generator == nil {
		return errNotAvailable
	}
	names := a.generator.Names()
	name := a.Example
	if name == "" {
		name = names[0]
	}
	answers, found := a.generator.Example(name)
	if !found {
		return &UsageError{Text: "no example " + name + "; there are " + strings.Join(names, ", ")}
	}
	if a.JSON {
		plain, err := hujson.Standardize(answers)
		if err != nil {
			return err
		}
		return writeJSON(stdout, json.RawMessage(plain))
	}
	_, err := stdout.Write(answers)
	return err
}
