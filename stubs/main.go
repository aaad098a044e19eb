package stubs

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
)

// Exit codes of the program.
const (
	ExitDone   = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// output is where a verb prints.
type output struct {
	Out io.Writer
	Err io.Writer
}

// job is a verb with its arguments.
type job interface {
	// run works until the context ends or it fails.
	run(ctx context.Context, o output) error
}

// verb is a line of the table of verbs.
type verb struct {
	Name  string
	Usage string
	// parse makes the job of a command line.
	parse func(args []string, o output) (job, error)
}

// verbs is the table of verbs, in the order of the help.
func verbs() []verb {
	return []verb{
		{Name: "platform", Usage: platformUsage, parse: parsePlatform},
		{Name: "executor", Usage: executorUsage, parse: parseExecutor},
	}
}

// Main runs a command line until SIGTERM or SIGINT and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	o := output{Out: stdout, Err: stderr}
	if len(args) == 0 || args[0] == "help" || args[0] == "--help" {
		help(o)
		return exitOfHelp(args)
	}
	for _, v := range verbs() {
		if v.Name == args[0] {
			return v.main(args[1:], o)
		}
	}
	fmt.Fprintf(stderr, "stand: %q is not a verb\n", args[0])
	return ExitUsage
}

func exitOfHelp(args []string) int {
	if len(args) == 0 {
		return ExitUsage
	}
	return ExitDone
}

func help(o output) {
	fmt.Fprintln(o.Out, "Usage: stand VERB [OPTIONS], stand VERB --help")
	for _, v := range verbs() {
		fmt.Fprintf(o.Out, "  %-10s %s\n", v.Name, v.Usage)
	}
}

func (v verb) main(args []string, o output) int {
	j, err := v.parse(args, o)
	if errors.Is(err, arg.ErrHelp) {
		return ExitDone
	}
	if err != nil {
		fmt.Fprintf(o.Err, "stand %s: %v\n", v.Name, err)
		return ExitUsage
	}
	if err := j.run(context.Background(), o); err != nil {
		fmt.Fprintf(o.Err, "stand %s: %v\n", v.Name, err)
		return ExitFailed
	}
	return ExitDone
}

// parse reads arguments into a struct, and prints the help where that is asked for.
func parse(name string, into any, args []string, o output) error {
	p, err := arg.NewParser(arg.Config{Program: "stand " + name, IgnoreEnv: true}, into)
	if err != nil {
		return err
	}
	err = p.Parse(args)
	if errors.Is(err, arg.ErrHelp) {
		p.WriteHelp(o.Out)
	}
	return err
}
