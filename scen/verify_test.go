package scen

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"waxwing.example/croft"
)

// run is one line of an executor's ledger.
type run struct {
	Attempt string
	Key     string
	Class   croft.Class
	Started croft.Millis
	Ended   croft.Millis
}

// evidence is what callers saw and what executors ran.
type evidence struct {
	records []record
	runs    map[string][]run
}

// check tells what is wrong, empty for nothing.
type check func(evidence) []string

// checks are the points that verify can be asked for.
var checks = map[string]check{
	"notrun":   refusedNeverRan,
	"once":     ranAtMostOnce,
	"whole":    answersAreWhole,
	"uncut":    nothingWasCut,
	"answered": somethingWasAnswered,
	"all":      allWereAnswered,
}

// verifyMain compares records of callers with ledgers of executors and exits 1 where a point is broken.
func verifyMain() {
	executors := flag.String("executors", "", "addresses of the executors or @FILE of their journals, by comma")
	points := flag.String("points", "", "points to check, by comma")
	flag.Parse()
	e := evidence{runs: map[string][]run{}}
	for _, f := range flag.Args() {
		e.records = append(e.records, readRecords(f)...)
	}
	for _, a := range strings.Split(*executors, ",") {
		for _, r := range readLedger(a) {
			e.runs[r.Key] = append(e.runs[r.Key], r)
		}
	}
	summarise(e)
	broken := false
	for _, p := range strings.Split(*points, ",") {
		wrong := checks[p](e)
		fmt.Printf("%s: %d broken\n", p, len(wrong))
		for _, w := range wrong[:min(len(wrong), 5)] {
			fmt.Println("  " + w)
		}
		broken = broken || len(wrong) > 0
	}
	if broken {
		os.Exit(1)
	}
	os.Exit(0)
}

func summarise(e evidence) {
	outcomes := map[string]int{}
	for _, r := range e.records {
		outcomes[r.Outcome]++
	}
	fmt.Printf("requests %d outcomes %v keys run %d\n", len(e.records), outcomes, len(e.runs))
}

func readRecords(name string) []record {
	file, err := os.Open(name)
	exitOn(err)
	defer func() { _ = file.Close() }()
	var records []record
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var r record
		exitOn(json.Unmarshal(lines.Bytes(), &r))
		records = append(records, r)
	}
	exitOn(lines.Err())
	return records
}

func readLedger(address string) []run {
	if name, isFile := strings.CutPrefix(address, "@"); isFile {
		return readJournal(name)
	}
	client := http.Client{Timeout: 10 * time.Second}
	res, err := client.Get("http://" + address + "/ledger")
	exitOn(err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	exitOn(err)
	var ledger struct{ Runs []run }
	exitOn(json.Unmarshal(body, &ledger))
	return ledger.Runs
}

func exitOn(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "verify:", err)
		os.Exit(2)
	}
}

// refusedNeverRan holds where no key ran of which every request was refused as not run.
func refusedNeverRan(e evidence) []string {
	refused := map[string]bool{}
	for _, r := range e.records {
		before, seen := refused[r.Key]
		refused[r.Key] = r.Outcome == "NotRun" && (before || !seen)
	}
	var wrong []string
	count := 0
	for key, all := range refused {
		if !all {
			continue
		}
		count++
		if runs := e.runs[key]; len(runs) > 0 {
			wrong = append(wrong, fmt.Sprintf("%s was refused as not run and ran %d times", key, len(runs)))
		}
	}
	fmt.Printf("keys refused as not run: %d\n", count)
	return wrong
}

// ranAtMostOnce holds where no key ran twice.
func ranAtMostOnce(e evidence) []string {
	var wrong []string
	for key, runs := range e.runs {
		if len(runs) > 1 {
			wrong = append(wrong, fmt.Sprintf("%s ran %d times", key, len(runs)))
		}
	}
	return wrong
}

// answersAreWhole holds where each answer was whole and its caller's own.
func answersAreWhole(e evidence) []string {
	var wrong []string
	for _, r := range e.records {
		if r.Outcome == "Answered" && r.Status == http.StatusOK && !r.Whole {
			wrong = append(wrong, fmt.Sprintf("%s through %s was answered %q", r.Key, r.Entry, r.Detail))
		}
	}
	return wrong
}

// nothingWasCut holds where each request ended with an answer of the interface.
func nothingWasCut(e evidence) []string {
	var wrong []string
	for _, r := range e.records {
		if r.Outcome == outcomeCut {
			wrong = append(wrong, fmt.Sprintf("%s through %s was cut: %s", r.Key, r.Entry, r.Detail))
		}
	}
	return wrong
}

// somethingWasAnswered keeps the other points from holding over no traffic.
func somethingWasAnswered(e evidence) []string {
	for _, r := range e.records {
		if r.Outcome == "Answered" {
			return nil
		}
	}
	return []string{"nothing was answered"}
}

// allWereAnswered holds where no request was refused or left unknown.
func allWereAnswered(e evidence) []string {
	var wrong []string
	for _, r := range e.records {
		if r.Outcome != "Answered" {
			wrong = append(wrong, fmt.Sprintf("%s through %s: %s %s", r.Key, r.Entry, r.Outcome, r.Detail))
		}
	}
	return wrong
}
