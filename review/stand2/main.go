//go:build review2

package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// scenario runs one case and reports whether the rule was broken.
type scenario func(s *site, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"aged":     aged,
	"lasting":  lastingDone,
	"twice":    restartTwice,
	"born":     bornBack,
	"renumber": renumber,
}

func main() {
	if len(os.Args) < 2 {
		os.Exit(2)
	}
	var err error
	switch os.Args[1] {
	case "platform":
		err = servePlatform(os.Args[2], os.Args[3])
	case "executor":
		err = runExecutor(os.Args[2:])
	case "case":
		os.Exit(runCase(os.Args[2], os.Args[3]))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(2)
}

// maxDuration bounds a case.
const maxDuration = 115 * time.Second

// runCase runs a case and returns its exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
func runCase(name, recordPath string) int {
	s, err := newSite(recordPath)
	if s != nil {
		defer s.close()
	}
	if err == nil {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
		go func() {
			select {
			case <-signals:
			case <-time.After(maxDuration):
			}
			s.record.write(entry{Who: "driver", What: "stopped before the end"})
			s.close()
			os.Exit(2)
		}()
		var broken bool
		broken, err = scenarios[name](s, os.Getenv("TROUBLE") != "0")
		if err == nil {
			s.record.write(entry{Who: "driver", What: "result", Detail: fmt.Sprintf("broken: %v", broken)})
			if broken {
				return 1
			}
			return 0
		}
	}
	fmt.Fprintln(os.Stderr, err)
	if !errors.Is(err, errCannotRun) {
		fmt.Fprintln(os.Stderr, "the case failed by itself")
	}
	return 2
}
