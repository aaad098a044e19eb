package scen

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"

	"waxwing.example/croft"
	"waxwing.example/croft/conf"
	"waxwing.example/croft/fakes"
)

// observations holds the samples of all entries in order of time.
type observations struct {
	byAddress map[string][]sample
	// byProcess lists the samples of each entry process, and the next sample of its address where the process no longer
	// answered or another one had taken its place.
	byProcess map[croft.EntryID][]sample
	// ended is the time at which the sampling ended.
	ended croft.Millis
}

func readObservations(name string) observations {
	file, err := os.Open(name)
	exitOnError(err)
	defer func() { _ = file.Close() }()
	o := observations{byAddress: map[string][]sample{}, byProcess: map[croft.EntryID][]sample{}}
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var s sample
		exitOnError(json.Unmarshal(lines.Bytes(), &s))
		o.add(s)
	}
	exitOnError(lines.Err())
	return o
}

func (o *observations) add(s sample) {
	if s.Address == "" {
		o.ended = s.Time
		return
	}
	before := o.byAddress[s.Address]
	if n := len(before); n > 0 && before[n-1].Entry != "" && before[n-1].Entry != s.Entry {
		last := before[n-1].Entry
		o.byProcess[last] = append(o.byProcess[last], s)
	}
	o.byAddress[s.Address] = append(before, s)
	if s.Entry != "" {
		o.byProcess[s.Entry] = append(o.byProcess[s.Entry], s)
	}
}

// findReverts returns each case in which an address served by a lower version after a higher one.
func findReverts(byAddress map[string][]sample) []string {
	var reverts []string
	for address, seen := range byAddress {
		highest := uint64(0)
		for _, s := range seen {
			if s.Ready && s.Version < highest {
				reverts = append(reverts, fmt.Sprintf("%s served by version %d after %d", address, s.Version, highest))
			}
			if s.Ready {
				highest = max(highest, s.Version)
			}
		}
	}
	return reverts
}

// fetchAcceptTimes returns the time at which the platform committed each version.
func fetchAcceptTimes(platform string) map[uint64]croft.Millis {
	res, err := http.Get("http://" + platform + "/history?Prefix=" + croft.ConfPrefix + "head")
	exitOnError(err)
	defer res.Body.Close()
	var written []fakes.Written
	exitOnError(json.NewDecoder(res.Body).Decode(&written))
	times := map[uint64]croft.Millis{}
	for _, w := range written {
		var h conf.Head
		exitOnError(json.Unmarshal(w.Value, &h))
		times[h.Version] = w.Time
	}
	fmt.Printf("versions accepted %d\n", len(times))
	return times
}

// findLate returns each version that a process did not have in force within the limit after it was accepted or after the
// process was first seen, whichever was later, and the delays of the others in ascending order.
func (o *observations) findLate(accepted map[uint64]croft.Millis, limit croft.Millis) ([]string, []croft.Millis) {
	var late []string
	var delays []croft.Millis
	for version, at := range accepted {
		for id, seen := range o.byProcess {
			start := max(at, seen[0].Time)
			reached, gone := firstInForce(seen, id, version)
			if reached == 0 && gone == 0 {
				gone = o.ended
			}
			switch {
			case reached > 0 && reached-start <= limit:
				delays = append(delays, reached-start)
			case reached == 0 && gone-start <= limit:
				// The process or the sampling ended before the version was due.
			default:
				late = append(late, fmt.Sprintf("version %d was not in force within %d ms at %s", version, limit, seen[0].Address))
			}
		}
	}
	slices.Sort(delays)
	return late, delays
}

// firstInForce returns when a process first had a version in force or, if it stopped answering before, when that was
// seen. Both are zero if the samples show neither.
func firstInForce(seen []sample, id croft.EntryID, version uint64) (reached, gone croft.Millis) {
	for _, s := range seen {
		switch {
		case s.Entry != id:
			return 0, s.Time
		case s.Version >= version:
			return s.Time, 0
		}
	}
	return 0, 0
}
