package verbs

import (
	"errors"
	"fmt"
	"io"

	"waxwing.example/croft/ops"
	"waxwing.example/croft/setup"
)

// Exit codes of every verb.
const (
	exitDone        = 0
	exitRefused     = 1
	exitUsage       = 2
	exitUnreachable = 3
	exitRace        = 4
	exitUnknown     = 5
	exitOutput      = 6
)

type exitLine struct {
	Code    int
	Meaning string
}

func exitCodes() []exitLine {
	return []exitLine{
		{exitDone, "done"},
		{exitRefused, "refused: nothing was done; or the demo failed"},
		{exitUsage, "wrong arguments, settings or file: nothing was done"},
		{exitUnreachable, "the entry or the platform is out of reach: nothing was done"},
		{exitRace, "another acceptance came first: nothing was done"},
		{exitUnknown, "the answer was lost: it may or may not be done, so look before doing it again"},
		{exitOutput, "done, but the output could not be written"},
	}
}

// output remembers the first failed write, so that a verb that was done isn't told as failed.
type output struct {
	out io.Writer
	err error
}

// Write passes text on; its error ends the verb no earlier than Run does.
func (o *output) Write(text []byte) (int, error) {
	_, err := o.out.Write(text)
	if o.err == nil {
		o.err = err
	}
	return len(text), nil
}

// errNotBuiltIn tells that a program holds no such part.
var errNotBuiltIn = &UsageError{Text: "this program was built without it"}

// FileError tells that a file could not be used, with a line for each fault.
type FileError struct{ Text string }

// Error returns the faults.
func (e *FileError) Error() string { return e.Text }

// UsageError tells that the arguments do not go together.
type UsageError struct{ Text string }

// Error says why.
func (e *UsageError) Error() string { return e.Text }

// report writes an error for the operator and returns its exit code.
func report(stderr io.Writer, verb string, err error) int {
	code := exitCode(err)
	var file *FileError
	var settings *setup.InvalidError
	if errors.As(err, &file) || errors.As(err, &settings) {
		// Such texts begin with the file's name on each line, as editors expect.
		fmt.Fprintln(stderr, err)
		return code
	}
	fmt.Fprintf(stderr, "wax %s: %s\n", verb, err)
	return code
}

func exitCode(err error) int {
	var (
		file        *FileError
		usage       *UsageError
		settings    *setup.InvalidError
		invalid     *ops.InvalidError
		unreachable *ops.UnreachableError
		unavailable *ops.UnavailableError
		race        *ops.RaceError
		unknown     *ops.UnknownError
	)
	switch {
	case errors.As(err, &file), errors.As(err, &usage), errors.As(err, &settings), errors.As(err, &invalid):
		return exitUsage
	case errors.As(err, &unreachable), errors.As(err, &unavailable):
		return exitUnreachable
	case errors.As(err, &race):
		return exitRace
	case errors.As(err, &unknown):
		return exitUnknown
	}
	return exitRefused
}
