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

// exitMeaning is a row of the table of exit codes in the reference page.
type exitMeaning struct {
	Code    int
	Meaning string
}

func exitMeanings() []exitMeaning {
	return []exitMeaning{
		{exitDone, "done"},
		{exitRefused, "refused: nothing was done; or the demo failed; or check found errors or contradictions"},
		{exitUsage, "wrong arguments, settings or file: nothing was done"},
		{exitUnreachable, "the entry or the platform is unreachable: nothing was done"},
		{exitRace, "another acceptance came first: nothing was done"},
		{exitUnknown, "the answer was lost: the command may or may not be done, so check before repeating it"},
		{exitOutput, "done, but the output could not be written"},
	}
}

// deferredErrorWriter reports success for every write and keeps the first error. A verb thus runs to its end even if its
// output cannot be written, and is then not reported as failed but with an exit code of its own.
type deferredErrorWriter struct {
	writer   io.Writer
	firstErr error
}

// Write writes text to the underlying writer; it keeps an error in firstErr instead of returning it.
func (w *deferredErrorWriter) Write(text []byte) (int, error) {
	_, err := w.writer.Write(text)
	if w.firstErr == nil {
		w.firstErr = err
	}
	return len(text), nil
}

// errNotAvailable means that Dependencies lacks the part that the verb needs.
var errNotAvailable = &UsageError{Text: "this program was built without the part that this verb needs"}

// FileError means that a file could not be read or is invalid; its text has a line for each fault.
type FileError struct{ Text string }

// Error returns the faults.
func (e *FileError) Error() string { return e.Text }

// UsageError means that arguments are invalid or contradict each other.
type UsageError struct{ Text string }

// Error returns the reason.
func (e *UsageError) Error() string { return e.Text }

// printError prints the error of a verb and returns its exit code.
func printError(stderr io.Writer, verb string, err error) int {
	code := exitCodeOf(err)
	var file *FileError
	var settings *setup.InvalidError
	if errors.As(err, &file) || errors.As(err, &settings) {
		// Each line of these texts begins with the file's name, the format that editors parse, so no prefix is added.
		fmt.Fprintln(stderr, err)
		return code
	}
	fmt.Fprintf(stderr, "wax %s: %s\n", verb, err)
	return code
}

// exitCodeOf returns the exit code for the error of a verb.
func exitCodeOf(err error) int {
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
