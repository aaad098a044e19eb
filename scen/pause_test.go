package scen

import (
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// pauseCmd spaces the faults of a schedule while load runs in the background: pause 500ms.
func pauseCmd(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: pause SPAN")
	}
	span, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(span)
}
