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
	rest := os.Args[1:]
	for len(rest) > 0 {
		end := slices.Index(rest, "--")
		if end < 0 {
			end = len(rest)
		}
		command := rest[:end]
		rest = rest[min(end+1, len(rest)):]
		running.Go(func() {
			c := exec.Command(command[0], command[1:]...)
			out, _ := c.CombinedOutput()
			mu.Lock()
			defer mu.Unlock()
			fmt.Printf("exit %d: %s", c.ProcessState.ExitCode(), out)
		})
	}
	running.Wait()
	os.Exit(0)
}
