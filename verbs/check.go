package verbs

import (
	"context"
	"fmt"
	"io"
	"slices"

	"waxwing.example/croft/setup"
)

const checkUsage = `Checks a file whole without starting anything and prints every fault with file, line and field.`

// Check is the verb that checks files.
type Check struct {
	As      string   `arg:"--as" default:"entry" placeholder:"KIND" help:"what the file holds: entry or wax settings, or answers"`
	Files   []string `arg:"positional,required" placeholder:"FILE" help:"files to check"`
	planner Planner  `arg:"-"`
}

// NewCheck returns the verb.
func NewCheck(programs Programs) *Check { return &Check{planner: programs.Planner} }

// Run checks every file and fails if one of them has a fault.
func (c *Check) Run(_ context.Context, stdout io.Writer) error {
	if !slices.Contains([]string{"entry", "wax", "answers"}, c.As) {
		return &UsageError{Text: "--as is entry, wax or answers, not " + c.As}
	}
	var faults string
	for _, f := range c.Files {
		if err := c.file(f); err != nil {
			faults += "\n" + err.Error()
			continue
		}
		fmt.Fprintf(stdout, "%s: good\n", f)
	}
	if faults != "" {
		return &FileError{Text: faults[1:]}
	}
	return nil
}

func (c *Check) file(name string) error {
	if c.As == "answers" {
		_, err := generate(c.planner, name)
		return err
	}
	body, err := readFile(name)
	if err != nil {
		return err
	}
	if c.As == "wax" {
		_, err = setup.ReadWax(name, body)
		return err
	}
	_, err = setup.ReadEntry(name, body)
	return err
}
