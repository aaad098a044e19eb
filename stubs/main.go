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

// streams holds the outputs of a verb.
type streams struct {
	Out io.Writer
	Err io.Writer
}

// command is a verb with its parsed arguments.
type command interface {
	// run serves until the context ends, a signal arrives or it fails.
	run(ctx context.Context, o streams) error
}

// verb is a row of the table of verbs.
type verb struct {
	Name  string
	Usage string
	// parse returns the command for the arguments after the name of the verb.
	parse func(args []string, o streams) (command, error)
}

// verbs returns the table of verbs, in the order of the help.
func verbs() []verb {
	return []verb{
		{Name: "platform", Usage: platformUsage, parse: parsePlatform},
		{Name: "executor", Usage: executorUsage, parse: parseExecutor},
	}
}

// Main runs the verb named by the first argument until SIGTERM or SIGINT and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	o := streams{Out: stdout, Err: stderr}
	if len(args) == 0 || args[0] == "help" || args[0] == "--help" {
		writeHelp(o)
		return helpExitCode(args)
	}
	for _, v := range verbs() {
		if v.Name == args[0] {
			return v.runCommand(args[1:], o)
		}
	}
	fmt.Fprintf(stderr, "stand: %q is not a verb\n", args[0])
	return ExitUsage
}

// helpExitCode returns the exit code for arguments that made Main print the help: a missing verb is an error, a request for
// help is not.
func helpExitCode(args []string) int {
	if len(args) == 0 {
		return ExitUsage
	}
	return ExitDone
}

// writeHelp prints the list of verbs.
func writeHelp(o streams) {
	fmt.Fprintln(o.Out, "Usage: stand VERB [OPTIONS], stand VERB --help")
	for _, v := range verbs() {
		fmt.Fprintf(o.Out, "  %-10s %s\n", v.Name, v.Usage)
	}
}

// runCommand parses the arguments of the verb, runs it and returns the exit code.
func (v verb) runCommand(args []string, o streams) int {
	c, err := v.parse(args, o)
	if errors.Is(err, arg.ErrHelp) {
		return ExitDone
	}
	if err != nil {
		fmt.Fprintf(o.Err, "stand %s: %v\n", v.Name, err)
		return ExitUsage
	}
	if err := c.run(context.Background(), o); err != nil {
		fmt.Fprintf(o.Err, "stand %s: %v\n", v.Name, err)
		return ExitFailed
	}
	return ExitDone
}

// parseArgs parses arguments into a struct; if they request help, it prints the help and returns arg.ErrHelp.
func parseArgs(name string, into any, args []string, o streams) error {
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
