package scen

import (
	"fmt"
	"os"
	"os/exec"
	"slices"
	"sync"
)

// raceMain runs commands, separated by --, in parallel and prints each exit code and output as the command ends.
func raceMain() {
	var running sync.WaitGroup
	var mu sync.Mutex
	remaining := os.Args[1:]
	for len(remaining) > 0 {
		end := slices.Index(remaining, "--")
		if end < 0 {
			end = len(remaining)
		}
		args := remaining[:end]
		remaining = remaining[min(end+1, len(remaining)):]
		running.Go(func() {
			c := exec.Command(args[0], args[1:]...)
			out, _ := c.CombinedOutput()
			mu.Lock()
			defer mu.Unlock()
			fmt.Printf("exit %d: %s", c.ProcessState.ExitCode(), out)
		})
	}
	running.Wait()
	os.Exit(0)
}
