package scen

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
)

// tally counts the requests of a class and those answered in time.
type tally struct{ offered, answered int }

func (t tally) share() float64 { return float64(t.answered) / float64(max(t.offered, 1)) }

// keptMain compares what each class was served without and with a flood, and exits 1 where one keeps too little.
func keptMain() {
	least := flag.Float64("least", 0.99, "least share of its service that a class keeps")
	flooded := flag.String("flooded", "", "classes that flood and are not compared, by comma")
	pool := flag.String("services", "", "services that are compared, by comma, all where empty")
	deadline := flag.Int64("deadline", 2000, "milliseconds after which an answer is not counted")
	flag.Parse()
	before := tallies(flag.Arg(0), *deadline)
	during := tallies(flag.Arg(1), *deadline)
	wrong, compared := 0, 0
	for _, class := range slices.Sorted(maps.Keys(before)) {
		b, d := before[class], during[class]
		service, _, _ := strings.Cut(class, "/")
		switch {
		case *pool != "" && !slices.Contains(strings.Split(*pool, ","), service):
			continue
		case slices.Contains(strings.Split(*flooded, ","), class):
			fmt.Printf("%s floods: %d of %d, then %d of %d\n", class, b.answered, b.offered, d.answered, d.offered)
			continue
		}
		compared++
		kept := d.share() / b.share()
		if b.offered != d.offered || b.answered == 0 || kept < *least {
			wrong++
			fmt.Printf("%s: %d of %d, then %d of %d\n", class, b.answered, b.offered, d.answered, d.offered)
		}
	}
	fmt.Printf("classes compared %d, below %g: %d\n", compared, *least, wrong)
	if wrong > 0 || compared == 0 {
		os.Exit(1)
	}
	os.Exit(0)
}

func tallies(name string, deadline int64) map[string]tally {
	out := map[string]tally{}
	for _, r := range readRecords(name) {
		t := out[r.Class]
		t.offered++
		if r.Outcome == "Answered" && r.Whole && r.Ended-r.Sent <= deadline {
			t.answered++
		}
		out[r.Class] = t
	}
	return out
}
