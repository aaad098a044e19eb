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

// run is one execution of a request as an executor's ledger or journal lists it.
type run struct {
	Attempt string
	Key     string
	Class   croft.Class
	Started croft.Millis
	Ended   croft.Millis
}

// evidence holds what callers recorded and what executors ran.
type evidence struct {
	records []record
	runs    map[string][]run // by the request's key
}

// check returns a description of each violation.
type check func(evidence) []string

// checks are the values of the flag -points.
var checks = map[string]check{
	"notrun":   findRefusedThatRan,
	"once":     findRepeatedRuns,
	"whole":    findWrongAnswers,
	"uncut":    findIncompleteRequests,
	"answered": requireAnyAnswer,
	"all":      findUnanswered,
}

// verifyMain compares the callers' records with the executors' ledgers and exits with 1 if a check finds a violation.
func verifyMain() {
	executors := flag.String("executors", "", "addresses of executors, or @FILE of their journals, separated by commas")
	points := flag.String("points", "", "checks to run, separated by commas")
	flag.Parse()
	e := evidence{runs: map[string][]run{}}
	for _, f := range flag.Args() {
		e.records = append(e.records, readRecords(f)...)
	}
	for _, a := range strings.Split(*executors, ",") {
		for _, r := range readRuns(a) {
			e.runs[r.Key] = append(e.runs[r.Key], r)
		}
	}
	printSummary(e)
	failed := false
	for _, p := range strings.Split(*points, ",") {
		violations := checks[p](e)
		fmt.Printf("%s: %d broken\n", p, len(violations))
		for _, v := range violations[:min(len(violations), 5)] {
			fmt.Println("  " + v)
		}
		failed = failed || len(violations) > 0
	}
	if failed {
		os.Exit(1)
	}
	os.Exit(0)
}

// printSummary prints the number of requests with each outcome and the number of keys that ran.
func printSummary(e evidence) {
	outcomes := map[string]int{}
	for _, r := range e.records {
		outcomes[r.Outcome]++
	}
	fmt.Printf("requests %d outcomes %v keys run %d\n", len(e.records), outcomes, len(e.runs))
}

func readRecords(name string) []record {
	file, err := os.Open(name)
	exitOnError(err)
	defer func() { _ = file.Close() }()
	var records []record
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var r record
		exitOnError(json.Unmarshal(lines.Bytes(), &r))
		records = append(records, r)
	}
	exitOnError(lines.Err())
	return records
}

// readRuns returns the runs in an executor's ledger, or in the journal @FILE.
func readRuns(address string) []run {
	if name, isFile := strings.CutPrefix(address, "@"); isFile {
		return readJournal(name)
	}
	client := http.Client{Timeout: 10 * time.Second}
	res, err := client.Get("http://" + address + "/ledger")
	exitOnError(err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	exitOnError(err)
	var ledger struct{ Runs []run }
	exitOnError(json.Unmarshal(body, &ledger))
	return ledger.Runs
}

// exitOnError ends a program of the scenarios with exit code 2 if err is not nil.
func exitOnError(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "scen:", err)
		os.Exit(2)
	}
}

// findRefusedThatRan returns the keys that ran although every request with the key was refused as not run.
func findRefusedThatRan(e evidence) []string {
	refused := map[string]bool{}
	for _, r := range e.records {
		before, seen := refused[r.Key]
		refused[r.Key] = r.Outcome == "NotRun" && (before || !seen)
	}
	var violations []string
	count := 0
	for key, all := range refused {
		if !all {
			continue
		}
		count++
		if runs := e.runs[key]; len(runs) > 0 {
			violations = append(violations, fmt.Sprintf("%s was refused as not run and ran %d times", key, len(runs)))
		}
	}
	fmt.Printf("keys refused as not run: %d\n", count)
	return violations
}

// findRepeatedRuns returns the keys that ran more than once.
func findRepeatedRuns(e evidence) []string {
	var violations []string
	for key, runs := range e.runs {
		if len(runs) > 1 {
			violations = append(violations, fmt.Sprintf("%s ran %d times", key, len(runs)))
		}
	}
	return violations
}

// findWrongAnswers returns the answers that were incomplete or belonged to another request.
func findWrongAnswers(e evidence) []string {
	var violations []string
	for _, r := range e.records {
		if r.Outcome == "Answered" && r.Status == http.StatusOK && !r.Whole {
			violations = append(violations, fmt.Sprintf("%s through %s was answered %q", r.Key, r.Entry, r.Detail))
		}
	}
	return violations
}

// findIncompleteRequests returns the requests that ended without a complete response of an entry.
func findIncompleteRequests(e evidence) []string {
	var violations []string
	for _, r := range e.records {
		if r.Outcome == outcomeIncomplete {
			violations = append(violations, fmt.Sprintf("%s through %s was cut: %s", r.Key, r.Entry, r.Detail))
		}
	}
	return violations
}

// requireAnyAnswer reports a violation if nothing was answered: without traffic the other checks find nothing to violate.
func requireAnyAnswer(e evidence) []string {
	for _, r := range e.records {
		if r.Outcome == "Answered" {
			return nil
		}
	}
	return []string{"nothing was answered"}
}

// findUnanswered returns the requests that were refused, were incomplete or had an unknown outcome.
func findUnanswered(e evidence) []string {
	var violations []string
	for _, r := range e.records {
		if r.Outcome != "Answered" {
			violations = append(violations, fmt.Sprintf("%s through %s: %s %s", r.Key, r.Entry, r.Outcome, r.Detail))
		}
	}
	return violations
}
