//go:build review3

// Command stand3 plays the scripts of the third review: each case starts entries as processes, with stand-ins of the platform, of
// executors and of requesters in this one, and checks a rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// outcome is the result of a case: what broke the rule, nothing if it held.
type outcome struct{ broken []string }

func (o *outcome) breakf(format string, args ...any) {
	o.broken = append(o.broken, fmt.Sprintf(format, args...))
}

// cases are the cases by name. Each gets whether the disruption takes place.
var cases = map[string]func(d *deployment, trouble bool, o *outcome) error{
	"sameid":    playSameID,
	"withdraw":  playWithdraw,
	"rename":    playRename,
	"takeover":  playTakeover,
	"latestart": playLateStart,
	"crashes":   playCrashes,
}

func main() {
	name := flag.String("case", "", "name of the case")
	out := flag.String("record", "record.txt", "file for the record")
	program := flag.String("entry", "target/entry", "the program of the entries")
	keep := flag.Bool("keep", false, "keep the logs of the entries")
	flag.Parse()
	os.Exit(play(*name, *out, *program, *keep, os.Getenv("TROUBLE") != "0"))
}

func play(name, out, program string, keep, trouble bool) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return 2
	}
	file, err := os.Create(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	rec := &record{file: file, began: time.Now()}
	d, err := newDeployment(rec, program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer d.close(keep)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		d.close(keep)
		os.Exit(2)
	}()
	var o outcome
	if err := run(d, trouble, &o); err != nil {
		rec.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	}
	for _, text := range o.broken {
		rec.printf("BROKEN: %s", text)
		fmt.Println("broken:", text)
	}
	if len(o.broken) > 0 {
		return 1
	}
	rec.printf("the rule held")
	fmt.Println("the rule held")
	return 0
}
