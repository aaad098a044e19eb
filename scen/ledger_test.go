package scen

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"waxwing.example/croft"
	"waxwing.example/croft/fakes"
	"waxwing.example/croft/plat"
)

// ledgerMain checks how many requests the executors ran and refused, and how many faults they injected, and exits with 1
// if a bound is violated.
func ledgerMain() {
	executors := flag.String("executors", "", "addresses of the executors separated by commas, each with an optional @INSTANT that replaces -after for it")
	faults := flag.String("faults", "", "FAULT:COUNT, least number of injected faults over all executors, separated by commas")
	leastRefusals := flag.Int("refused", 0, "least number of refusals over all executors")
	after := flag.Int64("after", 0, "count the runs that started later than this instant, in Unix milliseconds")
	mostRuns := flag.Int("most", -1, "most runs after the instant over all executors, -1 for no limit")
	leastRuns := flag.Int("least", 0, "least runs after the instant on each executor")
	flag.Parse()
	injected := map[string]int{}
	started, refusals, fewestRuns := 0, 0, math.MaxInt
	lastStart := int64(math.MinInt64)
	for _, a := range strings.Split(*executors, ",") {
		address, instant := a, *after
		if host, text, found := strings.Cut(a, "@"); found {
			address, instant = host, int64(parseInt(text))
		}
		l := fetchLedger(address)
		refusals += l.Refused
		ownRuns := 0
		for _, r := range l.Runs {
			injected[r.Fault]++
			lastStart = max(lastStart, int64(r.Started)-instant)
			if int64(r.Started) > instant {
				ownRuns++
			}
		}
		started += ownRuns
		fewestRuns = min(fewestRuns, ownRuns)
	}
	fmt.Printf("refusals %d, runs started after the instant %d, the last %d ms after it, faults %v\n",
		refusals, started, lastStart, injected)
	ok := refusals >= *leastRefusals && (*mostRuns < 0 || started <= *mostRuns) && fewestRuns >= *leastRuns
	for _, f := range strings.Split(*faults, ",") {
		name, bound, _ := strings.Cut(f, ":")
		ok = ok && (name == "" || injected[name] >= parseInt(bound))
	}
	if !ok {
		os.Exit(1)
	}
	os.Exit(0)
}

// fetchLedger returns an executor's ledger.
func fetchLedger(address string) fakes.Ledger {
	client := http.Client{Timeout: 10 * time.Second}
	res, err := client.Get("http://" + address + "/ledger")
	exitOnError(err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	exitOnError(err)
	var l fakes.Ledger
	exitOnError(json.Unmarshal(body, &l))
	return l
}

// instantCmd sets a variable to the current time plus an offset, in Unix milliseconds: instant T0 3s.
func instantCmd(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: instant VARIABLE OFFSET")
	}
	offset, err := time.ParseDuration(args[1])
	ts.Check(err)
	ts.Setenv(args[0], strconv.FormatInt(time.Now().Add(offset).UnixMilli(), 10))
}

// readJournal reads the runs that an executor has started. Unlike the ledger, it can be read after the executor was killed.
func readJournal(name string) []run {
	file, err := os.Open(name)
	exitOnError(err)
	defer func() { _ = file.Close() }()
	var runs []run
	for lines := json.NewDecoder(file); lines.More(); {
		var r run
		exitOnError(lines.Decode(&r))
		runs = append(runs, r)
	}
	return runs
}

func init() {
	checks["repeats"] = findDeniedRepeats
	checks["single"] = findRepeatedRunsOfRecords
}

// findRepeatedRunsOfRecords returns the keys of the records that ran more than once and ignores all other runs.
func findRepeatedRunsOfRecords(e evidence) []string {
	recorded := evidence{runs: map[string][]run{}}
	for _, r := range e.records {
		recorded.runs[r.Key] = e.runs[r.Key]
	}
	return findRepeatedRuns(recorded)
}

// findDeniedRepeats returns the requests that were refused as not run although their key had run before they were sent.
func findDeniedRepeats(e evidence) []string {
	var violations []string
	resent := 0
	for _, r := range e.records {
		runs := e.runs[r.Key]
		ranBefore := slices.ContainsFunc(runs, func(run run) bool { return int64(run.Started) < r.Sent })
		if !ranBefore {
			continue
		}
		resent++
		if r.Outcome == "NotRun" {
			violations = append(violations, fmt.Sprintf("%s through %s was refused as not run after it ran", r.Key, r.Entry))
		}
	}
	fmt.Printf("requests sent again after a run: %d\n", resent)
	return violations
}

// listedCmd changes the status of a VM in the platform's list: listed PLATFORM VM STATUS.
func listedCmd(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 3 {
		ts.Fatalf("usage: listed PLATFORM VM STATUS")
	}
	client := plat.New(plat.Options{Address: "http://" + args[0]})
	defer client.Close()
	delta, err := client.ListVMs(context.Background(), 0)
	ts.Check(err)
	for _, v := range delta.Changed {
		if v.ID == croft.VMID(args[1]) {
			v.Room.MemoryMB++ // the list then reports the VM as changed even if it already has the status
			_, err := client.PutVM(context.Background(), v.WithStatus(croft.VMStatus(args[2])))
			ts.Check(err)
			return
		}
	}
	ts.Fatalf("listed: %s is not in the list", args[1])
}
