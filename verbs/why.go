package verbs

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const whyUsage = `Prints what the logs of several entries say of one id (a request, job, task, executor or VM), oldest first.
Lines of the entries' state around it, such as who led and which feeds were lost, are printed with --context.`

// Why is the verb that tells the story of an id.
type Why struct {
	Printed
	Context bool     `arg:"--context" help:"also print changes of lead, feeds, configuration and the entries' starts and stops"`
	ID      string   `arg:"positional,required" placeholder:"ID" help:"the id to look for"`
	Files   []string `arg:"positional,required" placeholder:"FILE" help:"logs of entries, in JSON lines"`
}

// NewWhy returns the verb.
func NewWhy() *Why { return &Why{} }

// storyLine is a line of a log.
type storyLine struct {
	Time    time.Time `json:"time"`
	Action  string    `json:"msg"`
	Subject string    `json:"Subject"`
	Choice  string    `json:"Choice"`
	Reason  string    `json:"Reason"`
	// File is the log that has the line.
	File string `json:"File"`
}

// contextActions are those that --context adds.
var contextActions = []string{"Start", "Shutdown", "ShutdownEnded", "Reload", "Lead", "Takeover", "StepDown", "Feed", "Config"}

// Run prints the story.
func (w *Why) Run(_ context.Context, stdout io.Writer) error {
	var story []storyLine
	found := false
	for _, name := range w.Files {
		lines, err := w.read(name)
		if err != nil {
			return err
		}
		for _, l := range lines {
			found = found || l.about(w.ID)
		}
		story = append(story, lines...)
	}
	if !found {
		return &FileError{Text: fmt.Sprintf("no line of %s mentions %s", strings.Join(w.Files, ", "), w.ID)}
	}
	slices.SortStableFunc(story, func(a, b storyLine) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	if w.JSON {
		return writeJSON(stdout, story)
	}
	for _, l := range story {
		text := strings.Join(strings.Fields(l.Action+" "+l.Subject+" "+l.Choice), " ")
		if l.Reason != "" {
			text += ": " + l.Reason
		}
		fmt.Fprintf(stdout, "%s %s %s\n", l.Time.UTC().Format("15:04:05.000"), l.File, text)
	}
	return nil
}

// about reports whether a line mentions the id.
func (l storyLine) about(id string) bool {
	return strings.Contains(l.Subject, id) || strings.Contains(l.Choice, id) || strings.Contains(l.Reason, id)
}

// read returns the lines of a log that belong to the story; a line that is not JSON is told.
func (w *Why) read(name string) ([]storyLine, error) {
	body, err := readFile(name)
	if err != nil {
		return nil, err
	}
	var out []storyLine
	scanner := bufio.NewScanner(bytes.NewReader(body))
	scanner.Buffer(nil, len(body)+1)
	for number := 1; scanner.Scan(); number++ {
		if len(bytes.TrimSpace(scanner.Bytes())) == 0 {
			continue
		}
		var l storyLine
		if err := json.Unmarshal(scanner.Bytes(), &l); err != nil {
			return nil, &FileError{Text: fmt.Sprintf("%s:%d: not a line of an entry's log in JSON: %v", name, number, err)}
		}
		l.File = strings.TrimSuffix(name[strings.LastIndexByte(name, '/')+1:], ".log")
		if l.about(w.ID) || (w.Context && slices.Contains(contextActions, l.Action)) {
			out = append(out, l)
		}
	}
	return out, scanner.Err()
}
