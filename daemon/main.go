package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"waxwing.example/croft/memory"
	"waxwing.example/croft/setup"
)

// Exit codes of the daemon.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// arguments are the command line arguments.
type arguments struct {
	File string `arg:"positional,required" help:"settings, JSON with comments"`
}

// Description returns the text that --help prints.
func (arguments) Description() string {
	return "entry takes callers' requests and passes them to executors; see docs/REFERENCE.md for its settings."
}

// Main runs an entry with the settings file that the command line names, until SIGTERM or SIGINT, and returns the exit
// code.
func Main(args []string, stdout, stderr io.Writer) int {
	settings, code := readSettings(args, stdout, stderr)
	if code != exitDone || settings == nil {
		return code
	}
	memory.Limit(settings.Limits.MemoryMB)
	d, err := New(*settings, stderr)
	if err != nil {
		fmt.Fprintln(stderr, "entry:", err)
		return exitFailed
	}
	log.SetFlags(0)
	log.SetOutput(libraryLog{log: d.log, lines: &d.metrics.libraryLines})
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := d.Run(ctx); err != nil {
		fmt.Fprintln(stderr, "entry:", err)
		return exitFailed
	}
	return exitDone
}

// readSettings parses the command line and reads the settings file. It returns the exit code, with nil settings
// after an error or if help was printed.
func readSettings(args []string, stdout, stderr io.Writer) (*setup.Entry, int) {
	var a arguments
	parser, err := arg.NewParser(arg.Config{Program: "entry", Out: stdout}, &a)
	if err != nil {
		fmt.Fprintln(stderr, "entry:", err)
		return nil, exitFailed
	}
	switch err := parser.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		parser.WriteHelp(stdout)
		return nil, exitDone
	case err != nil:
		fmt.Fprintln(stderr, "entry:", err)
		parser.WriteUsage(stderr)
		return nil, exitUsage
	}
	body, err := os.ReadFile(a.File)
	if err != nil {
		fmt.Fprintln(stderr, "entry:", err)
		return nil, exitUsage
	}
	settings, err := setup.ReadEntry(a.File, body)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return nil, exitUsage
	}
	return &settings, exitDone
}
