package verbs

import (
	"context"
	"encoding/json"
	"io"
	"strings"

	"github.com/tailscale/hujson"
)

const askUsage = `Prints the questionnaire with an example's answers, JSON with comments, to be edited and kept in
version control.`

// Ask is the verb that prints answers to begin with.
type Ask struct {
	Printed
	Example string  `arg:"positional" help:"example to print, the first by default"`
	planner Planner `arg:"-"`
}

// NewAsk returns the verb.
func NewAsk(programs Programs) *Ask { return &Ask{planner: programs.Planner} }

// Run prints the answers, without comments for JSON.
func (a *Ask) Run(_ context.Context, stdout io.Writer) error {
	if a.planner == nil {
		return errNotBuiltIn
	}
	names := a.planner.Names()
	name := a.Example
	if name == "" {
		name = names[0]
	}
	answers, found := a.planner.Example(name)
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
