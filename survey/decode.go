package survey

import (
	"cmp"
	"fmt"
	"strings"

	"waxwing.example/croft/setup"
)

// Problem is one invalid or unreadable field of the answers.
type Problem struct {
	// Line is the line number from one, zero for a problem of the whole text.
	Line int
	// Field is the path of the field, such as Services[0].Kinds[1].Wait.
	Field  string
	Reason string
}

// AnswersError lists all problems of the answers.
type AnswersError struct{ Problems []Problem }

// Error returns the problems, one a line.
func (e *AnswersError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, fmt.Sprintf("line %d: %s: %s", p.Line, p.Field, p.Reason))
	}
	return strings.Join(lines, "\n")
}

// checker collects the problems of the answers with the lines of their fields.
type checker struct {
	lines    setup.Lines
	problems []Problem
}

func (c *checker) addProblem(field string, line int, format string, values ...any) {
	c.problems = append(c.problems, Problem{Line: line, Field: field, Reason: fmt.Sprintf(format, values...)})
}

// rootField stands for the field in a problem of the whole text.
const rootField = "answers"

// parse decodes the answers and records what could not be decoded.
func (c *checker) parse(text []byte) Answers {
	var a Answers
	lines, faults := setup.Parse("", text, &a)
	c.lines = lines
	for _, f := range faults {
		c.addProblem(cmp.Or(f.Field, rootField), f.Line, "%s", f.Text)
	}
	return a
}
