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

// samples are what was seen of entries in the order of time.
type samples struct {
	byAddress map[string][]sample
	// byProcess ends each process by the sample that no longer showed it.
	byProcess map[croft.EntryID][]sample
	ended     croft.Millis
}

func readSamples(name string) samples {
	file, err := os.Open(name)
	exitOn(err)
	defer func() { _ = file.Close() }()
	seen := samples{byAddress: map[string][]sample{}, byProcess: map[croft.EntryID][]sample{}}
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var s sample
		exitOn(json.Unmarshal(lines.Bytes(), &s))
		seen.add(s)
	}
	exitOn(lines.Err())
	return seen
}

func (x *samples) add(s sample) {
	if s.Address == "" {
		x.ended = s.Time
		return
	}
	before := x.byAddress[s.Address]
	if n := len(before); n > 0 && before[n-1].Entry != "" && before[n-1].Entry != s.Entry {
		last := before[n-1].Entry
		x.byProcess[last] = append(x.byProcess[last], s)
	}
	x.byAddress[s.Address] = append(before, s)
	if s.Entry != "" {
		x.byProcess[s.Entry] = append(x.byProcess[s.Entry], s)
	}
}

// fallen tells of each address that served by a lower version after a higher one.
func fallen(byAddress map[string][]sample) []string {
	var wrong []string
	for address, seen := range byAddress {
		highest := uint64(0)
		for _, s := range seen {
			if s.Ready && s.Version < highest {
				wrong = append(wrong, fmt.Sprintf("%s served by version %d after %d", address, s.Version, highest))
			}
			if s.Ready {
				highest = max(highest, s.Version)
			}
		}
	}
	return wrong
}

// acceptances returns when the platform committed each version.
func acceptances(platform string) map[uint64]croft.Millis {
	res, err := http.Get("http://" + platform + "/history?Prefix=" + croft.ConfPrefix + "head")
	exitOn(err)
	defer res.Body.Close()
	var written []fakes.Written
	exitOn(json.NewDecoder(res.Body).Decode(&written))
	times := map[uint64]croft.Millis{}
	for _, w := range written {
		var h conf.Head
		exitOn(json.Unmarshal(w.Value, &h))
		times[h.Version] = w.Time
	}
	fmt.Printf("versions accepted %d\n", len(times))
	return times
}

// late tells of each version that was not in force on a process in time, and gives the spans of the others, shortest first.
func (x *samples) late(accepted map[uint64]croft.Millis, within croft.Millis) ([]string, []croft.Millis) {
	var wrong []string
	var spans []croft.Millis
	for version, at := range accepted {
		for id, seen := range x.byProcess {
			due := max(at, seen[0].Time)
			reached, gone := firstWith(seen, id, version)
			if reached == 0 && gone == 0 {
				gone = x.ended
			}
			switch {
			case reached > 0 && reached-due <= within:
				spans = append(spans, reached-due)
			case reached == 0 && gone-due <= within:
				// It ended, or the watch did, before the version was due.
			default:
				wrong = append(wrong, fmt.Sprintf("version %d was not in force within %d ms at %s", version, within, seen[0].Address))
			}
		}
	}
	slices.Sort(spans)
	return wrong, spans
}

// firstWith returns when a process first had a version in force, zero for never, and when it was gone.
func firstWith(seen []sample, id croft.EntryID, version uint64) (reached, gone croft.Millis) {
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
