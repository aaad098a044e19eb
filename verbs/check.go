package verbs

import (
	"context"
	"fmt"
	"io"
	"slices"

	"waxwing.example/croft/setup"
)

const checkUsage = `Checks files without starting anything and prints every fault with its file, line and field.`

// Check is the verb that checks files of settings or answers.
type Check struct {
	As        string          `arg:"--as" default:"entry" placeholder:"KIND" help:"kind of the files: entry (settings of an entry), wax (settings of the command line) or answers"`
	Files     []string        `arg:"positional,required" placeholder:"FILE" help:"files to check"`
	generator ConfigGenerator `arg:"-"`
}

// NewCheck returns the verb check before its arguments are parsed.
func NewCheck(dependencies Dependencies) *Check { return &Check{generator: dependencies.Generator} }

// Run checks every file and fails if one of them has a fault.
func (c *Check) Run(_ context.Context, stdout io.Writer) error {
	if !slices.Contains([]string{"entry", "wax", "answers"}, c.As) {
		return &UsageError{Text: "--as is entry, wax or answers, not " + c.As}
	}
	var faults string
	for _, f := range c.Files {
		if err := c.checkFile(f); err != nil {
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

// checkFile returns an error with a line for each fault of one file.
func (c *Check) checkFile(name string) error {
	if c.As == "answers" {
		_, err := generate(c.generator, name)
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
