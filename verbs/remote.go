package verbs

import (
	"errors"
	"io/fs"
	"os"

	"waxwing.example/croft"
	"waxwing.example/croft/ops"
	"waxwing.example/croft/setup"
)

// Remote is embedded by verbs that speak to an entry.
type Remote struct {
	Settings  string       `arg:"--settings,env:WAX_SETTINGS" default:"wax.json" placeholder:"FILE" help:"settings file"`
	Entry     string       `arg:"--entry,env:WAX_ENTRY" placeholder:"ADDRESS" help:"operators' address of an entry, in place of the settings' one"`
	TimeoutMs croft.Millis `arg:"--timeout-ms" default:"10000" placeholder:"MS" help:"longest wait for an answer, in milliseconds"`
}

// connect returns a client of the entry and the settings it was made from.
func (r Remote) connect() (*ops.Client, setup.Wax, error) {
	body, err := readFile(r.Settings)
	if err != nil {
		return nil, setup.Wax{}, err
	}
	settings, err := setup.ReadWax(r.Settings, body)
	if err != nil {
		return nil, setup.Wax{}, err
	}
	if r.Entry != "" {
		settings.Entry = r.Entry
	}
	return ops.NewClient(settings.Entry, settings.Token, r.TimeoutMs), settings, nil
}

// readFile turns the system's errors into this package's own.
func readFile(name string) ([]byte, error) {
	body, err := os.ReadFile(name)
	var path *fs.PathError
	if errors.As(err, &path) {
		return nil, &FileError{Text: name + ": " + path.Err.Error()}
	}
	if err != nil {
		return nil, &FileError{Text: name + ": " + err.Error()}
	}
	return body, nil
}
