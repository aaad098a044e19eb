package quest

import (
	"fmt"
	"regexp"

	"waxwing.example/croft"
)

// Limits of the answers.
const (
	maxWorkers   = 100_000
	maxSlots     = 1000
	maxRate      = 10_000_000
	maxBurst     = 1000
	maxWait      = 5 * croft.Minute
	million      = 1_000_000
	spareName    = "spare"
	maxWaveSize  = 1000
	maxRepair    = 60
	maxFailures  = 1000
	maxQuotaSize = 1 << 40
	// maxWorkerSize bounds a VM's cores, gigabytes and accelerators.
	maxWorkerSize = 1 << 20
)

var segment = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._~-]{0,62}$`)

// Read returns the answers in a text, or an *AnswersError with all faults.
func Read(text []byte) (Answers, error) {
	c := &checker{}
	a := c.parse(text)
	if len(c.problems) == 0 {
		c.check(a)
	}
	if len(c.problems) > 0 {
		return Answers{}, &AnswersError{Problems: c.problems}
	}
	return a, nil
}

func (c *checker) require(holds bool, field, reason string, values ...any) {
	if !holds {
		c.fault(field, c.lines.Of(field), reason, values...)
	}
}

func within[T int | int64 | croft.Millis](c *checker, field string, value, least, most T) {
	c.require(value >= least && value <= most, field, "%d is not within %d and %d", value, least, most)
}

func (c *checker) check(a Answers) {
	c.require(a.Firm != "", "Firm", "missing")
	c.require(len(a.DataCentres) > 0, "DataCentres", "none is named")
	c.require(len(a.Services) > 0, "Services", "none is described")
	within(c, "WorkersPerDataCentre", a.WorkersPerDataCentre, 1, maxWorkers)
	within(c, "Worker.Cores", a.Worker.Cores, 1, maxWorkerSize)
	within(c, "Worker.MemoryGB", a.Worker.MemoryGB, 1, maxWorkerSize)
	within(c, "Worker.Accelerators", a.Worker.Accelerators, 0, maxWorkerSize)
	within(c, "RackSize", a.RackSize, 1, maxWorkers)
	within(c, "Slots", a.Slots, 1, maxSlots)
	within(c, "FailuresADay", a.FailuresADay, 0, maxFailures)
	within(c, "RepairDays", a.RepairDays, 0, maxRepair)
	centres := map[string]bool{}
	for i, d := range a.DataCentres {
		c.name(fmt.Sprintf("DataCentres[%d]", i), string(d), centres)
	}
	teams := map[string]bool{}
	for i, t := range a.Teams {
		c.team(fmt.Sprintf("Teams[%d]", i), t, teams)
	}
	services := map[string]bool{spareName: true}
	for i, s := range a.Services {
		field := fmt.Sprintf("Services[%d]", i)
		c.require(teams[s.Team], field+".Team", "no team %q", s.Team)
		c.service(field, s, services)
	}
}

func (c *checker) name(field, name string, taken map[string]bool) {
	c.require(segment.MatchString(name), field, "%q does not fit a path segment", name)
	c.require(!taken[name], field, "%q is taken", name)
	taken[name] = true
}

func (c *checker) team(field string, t Team, taken map[string]bool) {
	c.name(field+".Name", t.Name, taken)
	within(c, field+".Cores", t.Cores, 0, maxQuotaSize)
	within(c, field+".MemoryGB", t.MemoryGB, 0, maxQuotaSize)
	within(c, field+".Accelerators", t.Accelerators, 0, maxQuotaSize)
}

func (c *checker) service(field string, s Service, taken map[string]bool) {
	c.name(field+".Name", s.Name, taken)
	within(c, field+".Tolerance", s.Tolerance, 1, million)
	within(c, field+".WaveSize", s.WaveSize, 1, maxWaveSize)
	c.require(len(s.Kinds) > 0, field+".Kinds", "none is described")
	kinds := map[string]bool{}
	for i, k := range s.Kinds {
		c.kind(fmt.Sprintf("%s.Kinds[%d]", field, i), k, kinds)
	}
}

func (c *checker) kind(field string, k Kind, taken map[string]bool) {
	c.name(field+".Name", k.Name, taken)
	_, known := urgencies[k.Urgent]
	c.require(known, field+".Urgent", "%q is not Now, Today or Whenever", k.Urgent)
	within(c, field+".Wait", k.Wait, 1, maxWait)
	within(c, field+".Work", k.Work, 1, maxWait)
	c.require(k.Work <= k.Wait, field+".Work", "a request runs %d ms, but its caller waits only %d ms", k.Work, k.Wait)
	within(c, field+".RequestsAMinute", k.RequestsAMinute, 1, maxRate)
	within(c, field+".Burst", k.Burst, 1, maxBurst)
}
