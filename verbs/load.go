package verbs

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"

	"waxwing.example/croft"
	"waxwing.example/croft/model"
)

const loadUsage = `Plays a load on a model of the platform on a virtual clock, with the planner that entries run, and prints what came of
it: jobs on time, waits and durations in milliseconds, moves, commits, and the laws that were broken. The same seed plays
the same day.`

// Load is the verb that plays a load on the model.
type Load struct {
	Printed
	Seed      uint64  `arg:"--seed" default:"1" help:"seed of the load and of the faults"`
	Pools     int     `arg:"--pools" default:"4" help:"pools with work"`
	Executors int     `arg:"--executors" default:"10" help:"executors of each pool"`
	Spares    int     `arg:"--spares" default:"8" help:"VMs of the spare pool"`
	Rate      float64 `arg:"--rate" default:"1.5" help:"mean number of jobs a second of each pool"`
	Seconds   int     `arg:"--seconds" default:"30" help:"how long jobs come in"`
	Steady    bool    `arg:"--steady" help:"a steady load, where else each pool has its turn of four times the mean"`
	Faults    bool    `arg:"--faults" help:"let leaders, executors, answers and the store fail"`
	Wave      bool    `arg:"--wave" help:"ask for the maintenance of half of the VMs"`
	Varied    bool    `arg:"--varied" help:"jobs with gangs, schedules, labels, data racks and bounds on executors"`
}

// NewLoad returns the verb.
func NewLoad() *Load { return &Load{} }

// Limits of a load, so that it ends within minutes and fits in memory.
const (
	mostLoadVMs     = 6000
	mostLoadSeconds = 600
	// loadQuiet is how long the run goes on after the last job.
	loadQuiet = 30 * croft.Second
	// longestWait is the longest time that the histograms tell apart, in milliseconds.
	longestWait = 1_000_000
	digits      = 3
)

// loadSummary is what is printed of a run.
type loadSummary struct {
	model.Counts
	WaitP50, WaitP99, DurationP50, DurationP99 int64
	Broken                                     []string
}

// Run plays the load.
func (l *Load) Run(_ context.Context, stdout io.Writer) error {
	if l.Pools < 1 || l.Executors < 1 || l.Spares < 0 || l.Pools*l.Executors+l.Spares > mostLoadVMs {
		return &UsageError{Text: fmt.Sprintf("--pools and --executors are at least 1, and all VMs at most %d", mostLoadVMs)}
	}
	if l.Rate <= 0 || l.Seconds < 1 || l.Seconds > mostLoadSeconds {
		return &UsageError{Text: fmt.Sprintf("--rate is above 0 and --seconds from 1 to %d", mostLoadSeconds)}
	}
	report := model.Run(model.Options{
		Seed: l.Seed, Pools: l.Pools, WorkersAPool: l.Executors, Spares: l.Spares, JobsASecond: l.Rate,
		Span: croft.Millis(l.Seconds) * croft.Second, Quiet: loadQuiet, Turns: !l.Steady, Faults: l.Faults, Wave: l.Wave, Varied: l.Varied,
	})
	s := loadSummary{Counts: report.Counts, Broken: report.Broken}
	s.WaitP50, s.WaitP99 = percentiles(report.Waits)
	s.DurationP50, s.DurationP99 = percentiles(report.Durations)
	if l.JSON {
		return writeJSON(stdout, s)
	}
	return s.print(stdout)
}

// percentiles returns the median and the 99th percentile.
func percentiles(values []int64) (p50, p99 int64) {
	h := hdrhistogram.New(1, longestWait, digits)
	for _, v := range values {
		// Values beyond the longest are counted as the longest.
		_ = h.RecordValue(min(max(v, 1), longestWait))
	}
	return h.ValueAtQuantile(50), h.ValueAtQuantile(99)
}

func (s loadSummary) print(stdout io.Writer) error {
	table := tabwriter.NewWriter(stdout, 0, 0, columnGap, ' ', 0)
	for _, line := range []struct {
		name  string
		value any
	}{
		{"Jobs", s.Jobs}, {"On time", s.OnTime}, {"Late", s.Late}, {"Failed", s.Failed}, {"Cancelled", s.Cancelled},
		{"Wait p50, p99 (ms)", fmt.Sprintf("%d, %d", s.WaitP50, s.WaitP99)},
		{"Duration p50, p99 (ms)", fmt.Sprintf("%d, %d", s.DurationP50, s.DurationP99)},
		{"Starts", s.Starts}, {"Moves", s.Moves}, {"Maintained", s.Maintained}, {"Takeovers", s.Takeovers}, {"Commits", s.Commits},
		{"Broken laws", len(s.Broken)},
	} {
		fmt.Fprintf(table, "%s\t%v\n", line.name, line.value)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, b := range s.Broken {
		fmt.Fprintln(stdout, b)
	}
	return nil
}
