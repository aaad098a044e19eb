package verbs

import (
	"errors"
	"fmt"
	"strings"

	"waxwing.example/croft"
	"waxwing.example/croft/conf"
	"waxwing.example/croft/survey"
)

// Questionnaire is the ConfigGenerator that uses the questionnaire of package survey.
type Questionnaire struct{}

var _ ConfigGenerator = Questionnaire{}

// Names returns the names of the examples of answers.
func (Questionnaire) Names() []string { return survey.Examples() }

// Example returns an example as JSON with comments, and whether there is one of that name.
func (Questionnaire) Example(name string) ([]byte, bool) { return survey.Example(name) }

// Generate returns the configuration generated from answers, or an error with a line for each fault.
func (Questionnaire) Generate(file string, answers []byte) (croft.Config, error) {
	read, err := survey.Read(answers)
	if err != nil {
		return croft.Config{}, prefixFile(file, err)
	}
	config, err := survey.Generate(read)
	if err != nil {
		return croft.Config{}, prefixFile(file, err)
	}
	return config, nil
}

// Diff returns a line for each difference between two configurations.
func (Questionnaire) Diff(old, next croft.Config) []string {
	changes := conf.Diff(old, next)
	lines := make([]string, 0, len(changes))
	for _, c := range changes {
		lines = append(lines, c.String())
	}
	return lines
}

// prefixFile puts the name of the file, and the line and field if known, before each fault of an error.
func prefixFile(file string, err error) error {
	var faults *survey.AnswersError
	if !errors.As(err, &faults) {
		return fmt.Errorf("%s: %w", file, err)
	}
	lines := make([]string, 0, len(faults.Problems))
	for _, p := range faults.Problems {
		lines = append(lines, fmt.Sprintf("%s:%d: %s: %s", file, p.Line, p.Field, p.Reason))
	}
	return errors.New(strings.Join(lines, "\n"))
}
