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

// Main runs the verb that the arguments name and returns the exit code; the program's own name is not among them.
func Main(programs Programs, args []string, stdout, stderr io.Writer) int {
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
	return verb.main(ctx, programs, args[1:], stdout, stderr)
}

func (v Verb) main(ctx context.Context, programs Programs, args []string, stdout, stderr io.Writer) int {
	runner := v.New(programs)
	parser, err := v.parser(runner)
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
	out := &output{out: stdout}
	if err := runner.Run(ctx, out); err != nil {
		return report(stderr, v.Name, err)
	}
	if out.err != nil {
		fmt.Fprintf(stderr, "wax %s: %s\n", v.Name, out.err)
		return exitOutput
	}
	return exitDone
}

func (v Verb) parser(runner Runner) (*arg.Parser, error) {
	return arg.NewParser(arg.Config{Program: "wax " + v.Name, Out: io.Discard}, runner)
}

func (v Verb) writeHelp(w io.Writer, parser *arg.Parser) {
	fmt.Fprintf(w, "%s\n\n", v.Usage)
	parser.WriteHelp(w)
}
