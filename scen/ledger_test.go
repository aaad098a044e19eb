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

// ledgerMain checks what executors ran and exits 1 where a bound is broken.
func ledgerMain() {
	executors := flag.String("executors", "", "addresses of the executors, each with @INSTANT where it has one of its own, by comma")
	faults := flag.String("faults", "", "FAULT:LEAST injected in all, by comma")
	refused := flag.Int("refused", 0, "least refusals in all")
	after := flag.Int64("after", 0, "count the runs started later than this instant, in milliseconds")
	most := flag.Int("most", -1, "most runs after the instant, any for -1")
	least := flag.Int("least", 0, "least runs after the instant on each executor")
	flag.Parse()
	injected := map[string]int{}
	started, refusals, fewest := 0, 0, math.MaxInt
	last := int64(math.MinInt64)
	for _, a := range strings.Split(*executors, ",") {
		address, instant := a, *after
		if own, text, found := strings.Cut(a, "@"); found {
			address, instant = own, int64(number(text))
		}
		l := wholeLedger(address)
		refusals += l.Refused
		own := 0
		for _, r := range l.Runs {
			injected[r.Fault]++
			last = max(last, int64(r.Started)-instant)
			if int64(r.Started) > instant {
				own++
			}
		}
		started += own
		fewest = min(fewest, own)
	}
	fmt.Printf("refusals %d, runs started after the instant %d, the last %d ms after it, faults %v\n",
		refusals, started, last, injected)
	ok := refusals >= *refused && (*most < 0 || started <= *most) && fewest >= *least
	for _, f := range strings.Split(*faults, ",") {
		name, bound, _ := strings.Cut(f, ":")
		ok = ok && (name == "" || injected[name] >= number(bound))
	}
	if !ok {
		os.Exit(1)
	}
	os.Exit(0)
}

func wholeLedger(address string) fakes.Ledger {
	client := http.Client{Timeout: 10 * time.Second}
	res, err := client.Get("http://" + address + "/ledger")
	exitOn(err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	exitOn(err)
	var l fakes.Ledger
	exitOn(json.Unmarshal(body, &l))
	return l
}

// instantCmd puts the present instant, moved by a span, into a variable, in milliseconds: instant T0 3s.
func instantCmd(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: instant VARIABLE SPAN")
	}
	span, err := time.ParseDuration(args[1])
	ts.Check(err)
	ts.Setenv(args[0], strconv.FormatInt(time.Now().Add(span).UnixMilli(), 10))
}

// readJournal reads the runs that an executor began, also one that was killed.
func readJournal(name string) []run {
	file, err := os.Open(name)
	exitOn(err)
	defer func() { _ = file.Close() }()
	var runs []run
	for lines := json.NewDecoder(file); lines.More(); {
		var r run
		exitOn(lines.Decode(&r))
		runs = append(runs, r)
	}
	return runs
}

func init() {
	checks["repeats"] = repeatsAreNotDenied
	checks["single"] = recordedRanAtMostOnce
}

// recordedRanAtMostOnce holds where no key of the records ran twice, whatever else executors ran.
func recordedRanAtMostOnce(e evidence) []string {
	recorded := evidence{runs: map[string][]run{}}
	for _, r := range e.records {
		recorded.runs[r.Key] = e.runs[r.Key]
	}
	return ranAtMostOnce(recorded)
}

// repeatsAreNotDenied holds where no request was refused as not run whose key had run before it was sent.
func repeatsAreNotDenied(e evidence) []string {
	var wrong []string
	repeats := 0
	for _, r := range e.records {
		runs := e.runs[r.Key]
		before := slices.ContainsFunc(runs, func(run run) bool { return int64(run.Started) < r.Sent })
		if !before {
			continue
		}
		repeats++
		if r.Outcome == "NotRun" {
			wrong = append(wrong, fmt.Sprintf("%s through %s was refused as not run after it ran", r.Key, r.Entry))
		}
	}
	fmt.Printf("requests sent again after a run: %d\n", repeats)
	return wrong
}

// listedCmd puts a VM in the platform's list, as it stands there but for a status: listed ADDRESS VM STATUS.
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
			v.Room.MemoryMB++ // a change that the list tells even where the status is the old one
			_, err := client.PutVM(context.Background(), v.WithStatus(croft.VMStatus(args[2])))
			ts.Check(err)
			return
		}
	}
	ts.Fatalf("listed: %s is not in the list", args[1])
}
