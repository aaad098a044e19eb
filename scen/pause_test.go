package scen

import (
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// pauseCmd waits between the faults of a scenario while load runs in the background: pause 500ms.
func pauseCmd(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: pause DURATION")
	}
	duration, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(duration)
}
