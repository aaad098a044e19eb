package verbs

import (
	"context"
	"fmt"
	"io"

	"waxwing.example/croft/setup"
)

const checkUsage = `Checks files without starting anything and prints every fault with its file, line and field. With --as queues, the files
are configurations of job queues as the platform stores them. It then prints invalid entries and entries that can never match (error),
limits that exclude each other (contradiction), entries without effect (warning) and what differs from the configuration of --against.
The exit code is 0 with only warnings and differences, 1 with an error or a contradiction, and 2 if a file cannot be read or has
values of the wrong type. API keys are never printed.`

// The kinds of files.
const (
	kindEntry   = "entry"
	kindWax     = "wax"
	kindAnswers = "answers"
	kindQueues  = "queues"
)

// Check is the verb that checks files of settings or answers, or configurations of job queues.
type Check struct {
	OutputFlags
	As        string          `arg:"--as" default:"entry" placeholder:"KIND" help:"kind of the files: entry (settings of an entry), wax (settings of the command line), answers or queues (configurations of job queues)"`
	Against   string          `arg:"--against" placeholder:"FILE" help:"with queues, the configuration in force"`
	Job       string          `arg:"--job" placeholder:"FILE" help:"with queues, an example of the jobs that callers submit, to compare with caps and limits"`
	Files     []string        `arg:"positional,required" placeholder:"FILE" help:"files to check"`
	generator ConfigGenerator `arg:"-"`
	queues    QueueDecoder    `arg:"-"`
}

// NewCheck returns the verb check before its arguments are parsed.
func NewCheck(dependencies Dependencies) *Check {
	return &Check{generator: dependencies.Generator, queues: dependencies.Queues}
}

// Run checks every file and fails if one of them has a fault.
func (c *Check) Run(_ context.Context, stdout io.Writer) error {
	if err := c.checkArguments(); err != nil {
		return err
	}
	if c.As == kindQueues {
		return c.checkQueues(stdout)
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
	if c.As == kindAnswers {
		_, err := generate(c.generator, name)
		return err
	}
	body, err := readFile(name)
	if err != nil {
		return err
	}
	if c.As == kindWax {
		_, err = setup.ReadWax(name, body)
		return err
	}
	_, err = setup.ReadEntry(name, body)
	return err
}
