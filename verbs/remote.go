package verbs

import (
	"errors"
	"io/fs"
	"os"

	"waxwing.example/croft"
	"waxwing.example/croft/ops"
	"waxwing.example/croft/setup"
)

// EntryFlags holds the flags of verbs that send requests to an entry.
type EntryFlags struct {
	Settings  string       `arg:"--settings,env:WAX_SETTINGS" default:"wax.json" placeholder:"FILE" help:"settings file"`
	Entry     string       `arg:"--entry,env:WAX_ENTRY" placeholder:"ADDRESS" help:"address of an entry for operators, overrides the settings"`
	TimeoutMs croft.Millis `arg:"--timeout-ms" default:"10000" placeholder:"MS" help:"timeout of a request, in milliseconds"`
}

// connect reads the settings file and returns a client of the entry, and the settings.
func (f EntryFlags) connect() (*ops.Client, setup.Wax, error) {
	body, err := readFile(f.Settings)
	if err != nil {
		return nil, setup.Wax{}, err
	}
	settings, err := setup.ReadWax(f.Settings, body)
	if err != nil {
		return nil, setup.Wax{}, err
	}
	if f.Entry != "" {
		settings.Entry = f.Entry
	}
	return ops.NewClient(settings.Entry, settings.Token, f.TimeoutMs), settings, nil
}

// readFile reads a file; its error is a FileError that begins with the name of the file.
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
