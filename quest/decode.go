package quest

import (
	"cmp"
	"fmt"
	"strings"

	"waxwing.example/croft/setup"
)

// Problem is one fault of the answers.
type Problem struct {
	// Line counts from one, zero for a fault of the whole.
	Line int
	// Field is the path of the field, such as Services[0].Kinds[1].Wait.
	Field  string
	Reason string
}

// AnswersError lists all faults of the answers.
type AnswersError struct{ Problems []Problem }

// Error lists the faults, one a line.
func (e *AnswersError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, fmt.Sprintf("line %d: %s: %s", p.Line, p.Field, p.Reason))
	}
	return strings.Join(lines, "\n")
}

// checker notes the faults of answers with the lines of their fields.
type checker struct {
	lines    setup.Lines
	problems []Problem
}

func (c *checker) fault(field string, line int, reason string, values ...any) {
	c.problems = append(c.problems, Problem{Line: line, Field: field, Reason: fmt.Sprintf(reason, values...)})
}

// wholeField is the field named by a fault of the whole text.
const wholeField = "answers"

// parse reads the answers and notes what could not be read.
func (c *checker) parse(text []byte) Answers {
	var a Answers
	lines, faults := setup.Parse("", text, &a)
	c.lines = lines
	for _, f := range faults {
		c.fault(cmp.Or(f.Field, wholeField), f.Line, "%s", f.Text)
	}
	return a
}
