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

const loadUsage = `Simulates a load of jobs on a model of the platform with a virtual clock and the planner that entries run, and prints
the results: jobs on time, waits and durations in milliseconds, moves, commits, and invariants violated. The same seed
gives the same results.`

// Load is the verb that simulates a load of jobs with package model.
type Load struct {
	OutputFlags
	Seed      uint64  `arg:"--seed" default:"1" help:"seed of the load and of the faults"`
	Pools     int     `arg:"--pools" default:"4" help:"number of pools with work"`
	Executors int     `arg:"--executors" default:"10" help:"number of executors in each pool"`
	Spares    int     `arg:"--spares" default:"8" help:"number of VMs in the spare pool"`
	Rate      float64 `arg:"--rate" default:"1.5" help:"mean number of jobs submitted per second to each pool"`
	Seconds   int     `arg:"--seconds" default:"30" help:"time during which jobs are submitted, in seconds"`
	Steady    bool    `arg:"--steady" help:"submit at a steady rate; by default pools take turns at four times the mean rate"`
	Faults    bool    `arg:"--faults" help:"inject faults: leaders, executors and the store fail, answers are lost"`
	Wave      bool    `arg:"--wave" help:"request the maintenance of half of the VMs"`
	Varied    bool    `arg:"--varied" help:"submit jobs with gangs, schedules, labels, data racks and limits on executors"`
}

// NewLoad returns the verb load before its arguments are parsed.
func NewLoad() *Load { return &Load{} }

// Limits and settings of a simulation; the limits make it end within minutes and fit in memory.
const (
	maxLoadVMs     = 6000
	maxLoadSeconds = 600
	// loadCooldown is the simulated time after the last submission.
	loadCooldown = 30 * croft.Second
	// maxRecordedMs is the upper bound of the histograms, in milliseconds.
	maxRecordedMs = 1_000_000
	// significantDigits is the precision of the histograms.
	significantDigits = 3
)

// loadSummary holds the printed results of a simulation; its field names are those of the JSON output.
type loadSummary struct {
	model.Counts
	// WaitP50 to DurationP99 are percentiles of the waits and durations, in milliseconds.
	WaitP50, WaitP99, DurationP50, DurationP99 int64
	// Broken has a line for each violation of an invariant.
	Broken []string
}

// Run simulates the load and prints the summary.
func (l *Load) Run(_ context.Context, stdout io.Writer) error {
	if l.Pools < 1 || l.Executors < 1 || l.Spares < 0 || l.Pools*l.Executors+l.Spares > maxLoadVMs {
		return &UsageError{Text: fmt.Sprintf("--pools and --executors are at least 1, and all VMs at most %d", maxLoadVMs)}
	}
	if l.Rate <= 0 || l.Seconds < 1 || l.Seconds > maxLoadSeconds {
		return &UsageError{Text: fmt.Sprintf("--rate is above 0 and --seconds from 1 to %d", maxLoadSeconds)}
	}
	report := model.Run(model.Options{
		Seed: l.Seed, Pools: l.Pools, WorkersPerPool: l.Executors, Spares: l.Spares, JobsPerSecond: l.Rate,
		LoadDuration: croft.Millis(l.Seconds) * croft.Second, QuietDuration: loadCooldown, Peaks: !l.Steady, Faults: l.Faults, Wave: l.Wave, Varied: l.Varied,
	})
	s := loadSummary{Counts: report.Counts, Broken: report.Broken}
	s.WaitP50, s.WaitP99 = percentiles(report.Waits)
	s.DurationP50, s.DurationP99 = percentiles(report.Durations)
	if l.JSON {
		return writeJSON(stdout, s)
	}
	return s.print(stdout)
}

// percentiles returns the median and the 99th percentile of values in milliseconds.
func percentiles(values []int64) (p50, p99 int64) {
	h := hdrhistogram.New(1, maxRecordedMs, significantDigits)
	for _, v := range values {
		// Values outside of the histogram's bounds are recorded as the nearest bound, so no error is possible.
		_ = h.RecordValue(min(max(v, 1), maxRecordedMs))
	}
	return h.ValueAtQuantile(50), h.ValueAtQuantile(99)
}

// print writes the summary as a table, followed by the violations.
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
