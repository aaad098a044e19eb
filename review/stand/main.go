//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// caseLimit is how long a case may run.
const caseLimit = 115 * time.Second

// cases has the cases by name; each returns what broke the rule, nothing if it held.
var cases = map[string]func(*world) []string{}

func main() { os.Exit(run()) }

func run() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		return cannotRun
	}
	folder, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer rec.close()
	w := newWorld(filepath.Dir(filepath.Dir(folder)), rec, os.Getenv("TROUBLE") != "0")
	defer w.close()
	defer func() {
		if r := recover(); r != nil {
			reason, ok := r.(errCannotRun)
			if !ok {
				panic(r)
			}
			rec.say("the case cannot run: %s", reason.reason)
			code = cannotRun
		}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	result, failed := start(cases[os.Args[1]], w)
	select {
	case <-signals:
		w.cannotRun("a signal ended the case")
	case <-time.After(caseLimit):
		w.cannotRun("the case took more than %v", caseLimit)
	case reason := <-failed:
		panic(reason)
	case findings := <-result:
		for _, f := range findings {
			rec.say("%s", f)
		}
		if len(findings) > 0 {
			rec.say("the rule was broken")
			return broken
		}
		rec.say("the rule held")
	}
	return held
}

// start runs a case in the background. One of the channels gets what broke the rule, or why the case cannot run.
func start(play func(*world) []string, w *world) (<-chan []string, <-chan errCannotRun) {
	result := make(chan []string, 1)
	failed := make(chan errCannotRun, 1)
	go func() {
		defer func() {
			if r := recover(); r != nil {
				reason, ok := r.(errCannotRun)
				if !ok {
					panic(r)
				}
				failed <- reason
			}
		}()
		result <- play(w)
	}()
	return result, failed
}
