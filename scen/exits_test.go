package scen

import (
	"errors"
	"os/exec"
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"
)

// exitsCmd runs a program and fails unless it ends with that exit code: exits 4 wax accept ...
func exitsCmd(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: exits CODE PROGRAM [ARGUMENT...]")
	}
	wanted, err := strconv.Atoi(args[0])
	ts.Check(err)
	code := 0
	var ended *exec.ExitError
	if err := ts.Exec(args[1], args[2:]...); errors.As(err, &ended) {
		code = ended.ExitCode()
	} else {
		ts.Check(err)
	}
	if code != wanted {
		ts.Fatalf("exits: %s ended with %d, not %d", args[1], code, wanted)
	}
}
