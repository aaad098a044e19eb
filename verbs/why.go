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

const whyUsage = `Prints the lines in the logs of several entries that mention an id (of a request, job, task, executor or VM), oldest
first. With --context it also prints changes of the entries' state, such as a new leader or a lost feed.`

// Why is the verb that prints the log lines about an id.
type Why struct {
	OutputFlags
	Context bool     `arg:"--context" help:"also print changes of leadership, feeds and configuration, and starts and stops of entries"`
	ID      string   `arg:"positional,required" placeholder:"ID" help:"id to search for"`
	Files   []string `arg:"positional,required" placeholder:"FILE" help:"logs of entries, in JSON Lines format"`
}

// NewWhy returns the verb why before its arguments are parsed.
func NewWhy() *Why { return &Why{} }

// storyLine is a line of a log. The name appears in the error texts of encoding/json.
type storyLine struct {
	Time    time.Time `json:"time"`
	Action  string    `json:"msg"`
	Subject string    `json:"Subject"`
	Choice  string    `json:"Choice"`
	Reason  string    `json:"Reason"`
	// File is the name of the log file without directory and extension; it is set after decoding.
	File string `json:"File"`
}

// contextActions lists the actions whose lines --context adds.
var contextActions = []string{"Start", "Shutdown", "ShutdownEnded", "Reload", "Lead", "Takeover", "StepDown", "Feed", "Config"}

// Run prints the lines about the id of all files, ordered by time.
func (w *Why) Run(_ context.Context, stdout io.Writer) error {
	var selected []storyLine
	found := false
	for _, name := range w.Files {
		lines, err := w.readLog(name)
		if err != nil {
			return err
		}
		for _, l := range lines {
			found = found || l.mentions(w.ID)
		}
		selected = append(selected, lines...)
	}
	if !found {
		return &FileError{Text: fmt.Sprintf("no line of %s mentions %s", strings.Join(w.Files, ", "), w.ID)}
	}
	slices.SortStableFunc(selected, func(a, b storyLine) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	if w.JSON {
		return writeJSON(stdout, selected)
	}
	for _, l := range selected {
		text := strings.Join(strings.Fields(l.Action+" "+l.Subject+" "+l.Choice), " ")
		if l.Reason != "" {
			text += ": " + l.Reason
		}
		fmt.Fprintf(stdout, "%s %s %s\n", l.Time.UTC().Format("15:04:05.000"), l.File, text)
	}
	return nil
}

// mentions reports whether a line mentions the id.
func (l storyLine) mentions(id string) bool {
	return strings.Contains(l.Subject, id) || strings.Contains(l.Choice, id) || strings.Contains(l.Reason, id)
}

// readLog returns the lines of a log that mention the id or that --context adds; a line that is not JSON is an error.
func (w *Why) readLog(name string) ([]storyLine, error) {
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
		if l.mentions(w.ID) || (w.Context && slices.Contains(contextActions, l.Action)) {
			out = append(out, l)
		}
	}
	return out, scanner.Err()
}
