package setup

import (
	"fmt"
	"strings"
)

// Problem is one fault of a settings file.
type Problem struct {
	File string
	// Line counts from one; zero means the whole file.
	Line int
	// Field is the path of the field, such as Log.Format; it is empty for a problem of the whole file.
	Field string
	Text  string
}

// String returns the problem as file:line: field: text.
func (p Problem) String() string {
	if p.Field == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Text)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Field, p.Text)
}

// InvalidError lists every fault of a settings file, ordered by line.
type InvalidError struct{ Problems []Problem }

// Error returns one line for each fault.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}
