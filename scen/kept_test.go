package scen

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
)

// classCount counts the offered requests of a class and those answered in time.
type classCount struct {
	offered, answered int
	// missed are the other records.
	missed []record
}

func (c classCount) share() float64 { return float64(c.answered) / float64(max(c.offered, 1)) }

// maxListedMisses bounds the records listed for a class that lost answers.
const maxListedMisses = 5

// keptMain compares the share of requests answered in time in each class between two loads, without and with a flood, and
// exits with 1 if a class falls below the least ratio of the two.
func keptMain() {
	leastRatio := flag.Float64("least", 0.99, "least ratio of a class's answered share with the flood to that without")
	flooded := flag.String("flooded", "", "classes that flood and are not compared, separated by commas")
	services := flag.String("services", "", "services to compare, separated by commas; empty for all")
	deadline := flag.Int64("deadline", 2000, "milliseconds within which an answer counts")
	flag.Parse()
	baseline := countByClass(flag.Arg(0), *deadline)
	flood := countByClass(flag.Arg(1), *deadline)
	failed, compared := 0, 0
	for _, class := range slices.Sorted(maps.Keys(baseline)) {
		b, f := baseline[class], flood[class]
		service, _, _ := strings.Cut(class, "/")
		switch {
		case *services != "" && !slices.Contains(strings.Split(*services, ","), service):
			continue
		case slices.Contains(strings.Split(*flooded, ","), class):
			fmt.Printf("%s floods: %d of %d, then %d of %d\n", class, b.answered, b.offered, f.answered, f.offered)
			continue
		}
		compared++
		ratio := f.share() / b.share()
		if b.offered != f.offered || b.answered == 0 || ratio < *leastRatio {
			failed++
			fmt.Printf("%s: %d of %d, then %d of %d\n", class, b.answered, b.offered, f.answered, f.offered)
			for _, r := range f.missed[:min(len(f.missed), maxListedMisses)] {
				fmt.Printf("  %s through %s: %s %d after %d ms, sent at %d: %s\n", r.Key, r.Entry, r.Outcome, r.Status, r.Ended-r.Sent, r.Sent, r.Detail)
			}
		}
	}
	fmt.Printf("classes compared %d, below %g: %d\n", compared, *leastRatio, failed)
	if failed > 0 || compared == 0 {
		os.Exit(1)
	}
	os.Exit(0)
}

// countByClass counts the recorded requests of each class; an answer counts within the deadline, in milliseconds.
func countByClass(name string, deadline int64) map[string]classCount {
	counts := map[string]classCount{}
	for _, r := range readRecords(name) {
		c := counts[r.Class]
		c.offered++
		if r.Outcome == "Answered" && r.Whole && r.Ended-r.Sent <= deadline {
			c.answered++
		} else {
			c.missed = append(c.missed, r)
		}
		counts[r.Class] = c
	}
	return counts
}
