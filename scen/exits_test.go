package scen

import (
	"errors"
	"os/exec"
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"
)

// exitsCmd runs a program and fails unless it ends with the given exit code: exits 4 wax accept ...
func exitsCmd(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: exits CODE PROGRAM [ARGUMENT...]")
	}
	expected, err := strconv.Atoi(args[0])
	ts.Check(err)
	code := 0
	var exitErr *exec.ExitError
	if err := ts.Exec(args[1], args[2:]...); errors.As(err, &exitErr) {
		code = exitErr.ExitCode()
	} else {
		ts.Check(err)
	}
	if code != expected {
		ts.Fatalf("exits: %s ended with %d, not %d", args[1], code, expected)
	}
}
