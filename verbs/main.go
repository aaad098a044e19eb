package verbs

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
)

// Main runs the verb named by the first argument and returns the exit code; the arguments exclude the name of the program.
func Main(dependencies Dependencies, args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if len(args) == 0 {
		writeOverview(stderr)
		return exitUsage
	}
	if args[0] == "-h" || args[0] == "--help" {
		writeOverview(stdout)
		return exitDone
	}
	verb, found := Lookup(args[0])
	if !found {
		fmt.Fprintf(stderr, "wax: no verb %q; wax help lists them\n", args[0])
		return exitUsage
	}
	return verb.runCommand(ctx, dependencies, args[1:], stdout, stderr)
}

// runCommand parses the arguments of the verb, runs it and returns the exit code.
func (v Verb) runCommand(ctx context.Context, dependencies Dependencies, args []string, stdout, stderr io.Writer) int {
	runner := v.New(dependencies)
	parser, err := v.newParser(runner)
	if err != nil {
		fmt.Fprintf(stderr, "wax %s: %s\n", v.Name, err)
		return exitUsage
	}
	err = parser.Parse(args)
	if errors.Is(err, arg.ErrHelp) {
		v.writeHelp(stdout, parser)
		return exitDone
	}
	if err != nil {
		fmt.Fprintf(stderr, "wax %s: %s\n", v.Name, err)
		parser.WriteUsage(stderr)
		return exitUsage
	}
	out := &deferredErrorWriter{writer: stdout}
	if err := runner.Run(ctx, out); err != nil {
		return printError(stderr, v.Name, err)
	}
	if out.firstErr != nil {
		fmt.Fprintf(stderr, "wax %s: %s\n", v.Name, out.firstErr)
		return exitOutput
	}
	return exitDone
}

// newParser returns a parser that fills the exported fields of the runner.
func (v Verb) newParser(runner Runner) (*arg.Parser, error) {
	return arg.NewParser(arg.Config{Program: "wax " + v.Name, Out: io.Discard}, runner)
}

func (v Verb) writeHelp(w io.Writer, parser *arg.Parser) {
	fmt.Fprintf(w, "%s\n\n", v.Usage)
	parser.WriteHelp(w)
}
