package survey

import (
	"fmt"
	"regexp"

	"waxwing.example/croft"
)

// Limits of the values in the answers.
const (
	maxVMs             = 100_000
	maxSlots           = 1000
	maxRequestsAMinute = 10_000_000
	maxBurst           = 1000
	// maxDuration limits the time that a request runs and the time that its caller waits.
	maxDuration     = 5 * croft.Minute
	maxWaveSize     = 1000
	maxRepairDays   = 60
	maxFailuresADay = 1000
	// maxQuota limits each resource in a team's quota.
	maxQuota = 1 << 40
	// maxVMSize limits a VM's cores, gigabytes and accelerators.
	maxVMSize = 1 << 20
)

// partsPerMillion is the denominator of tolerances and availability targets.
const partsPerMillion = 1_000_000

// sparePoolName is the name of the generated spare pool; no service may have this name, because pools are named after
// services.
const sparePoolName = "spare"

// segmentPattern matches names that can stand as a segment of a URL path.
var segmentPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._~-]{0,62}$`)

// Read decodes and checks the answers in a text; its error is an *AnswersError with all problems.
func Read(text []byte) (Answers, error) {
	c := &checker{}
	a := c.parse(text)
	if len(c.problems) == 0 {
		c.checkAnswers(a)
	}
	if len(c.problems) > 0 {
		return Answers{}, &AnswersError{Problems: c.problems}
	}
	return a, nil
}

// require records a problem of a field unless the condition holds.
func (c *checker) require(valid bool, field, format string, values ...any) {
	if !valid {
		c.addProblem(field, c.lines.Of(field), format, values...)
	}
}

// requireWithin records a problem of a field unless its value is within the bounds.
func requireWithin[T int | int64 | croft.Millis](c *checker, field string, value, least, most T) {
	c.require(value >= least && value <= most, field, "%d is not within %d and %d", value, least, most)
}

func (c *checker) checkAnswers(a Answers) {
	c.require(a.Firm != "", "Firm", "missing")
	c.require(len(a.DataCentres) > 0, "DataCentres", "none is named")
	c.require(len(a.Services) > 0, "Services", "none is described")
	requireWithin(c, "WorkersPerDataCentre", a.WorkersPerDataCentre, 1, maxVMs)
	requireWithin(c, "Worker.Cores", a.Worker.Cores, 1, maxVMSize)
	requireWithin(c, "Worker.MemoryGB", a.Worker.MemoryGB, 1, maxVMSize)
	requireWithin(c, "Worker.Accelerators", a.Worker.Accelerators, 0, maxVMSize)
	requireWithin(c, "RackSize", a.RackSize, 1, maxVMs)
	requireWithin(c, "Slots", a.Slots, 1, maxSlots)
	requireWithin(c, "FailuresADay", a.FailuresADay, 0, maxFailuresADay)
	requireWithin(c, "RepairDays", a.RepairDays, 0, maxRepairDays)
	centres := map[string]bool{}
	for i, d := range a.DataCentres {
		c.checkName(fmt.Sprintf("DataCentres[%d]", i), string(d), centres)
	}
	teams := map[string]bool{}
	for i, t := range a.Teams {
		c.checkTeam(fmt.Sprintf("Teams[%d]", i), t, teams)
	}
	services := map[string]bool{sparePoolName: true}
	for i, s := range a.Services {
		field := fmt.Sprintf("Services[%d]", i)
		c.require(teams[s.Team], field+".Team", "no team %q", s.Team)
		c.checkService(field, s, services)
	}
}

// checkName checks that a name is a valid path segment and not taken, and marks it as taken.
func (c *checker) checkName(field, name string, taken map[string]bool) {
	c.require(segmentPattern.MatchString(name), field, "%q does not fit a path segment", name)
	c.require(!taken[name], field, "%q is taken", name)
	taken[name] = true
}

func (c *checker) checkTeam(field string, t Team, taken map[string]bool) {
	c.checkName(field+".Name", t.Name, taken)
	requireWithin(c, field+".Cores", t.Cores, 0, maxQuota)
	requireWithin(c, field+".MemoryGB", t.MemoryGB, 0, maxQuota)
	requireWithin(c, field+".Accelerators", t.Accelerators, 0, maxQuota)
}

func (c *checker) checkService(field string, s Service, taken map[string]bool) {
	c.checkName(field+".Name", s.Name, taken)
	requireWithin(c, field+".Tolerance", s.Tolerance, 1, partsPerMillion)
	requireWithin(c, field+".WaveSize", s.WaveSize, 1, maxWaveSize)
	c.require(len(s.Kinds) > 0, field+".Kinds", "none is described")
	kinds := map[string]bool{}
	for i, k := range s.Kinds {
		c.checkKind(fmt.Sprintf("%s.Kinds[%d]", field, i), k, kinds)
	}
}

func (c *checker) checkKind(field string, k Kind, taken map[string]bool) {
	c.checkName(field+".Name", k.Name, taken)
	_, known := urgencies[k.Urgent]
	c.require(known, field+".Urgent", "%q is not Now, Today or Whenever", k.Urgent)
	requireWithin(c, field+".Wait", k.Wait, 1, maxDuration)
	requireWithin(c, field+".Work", k.Work, 1, maxDuration)
	c.require(k.Work <= k.Wait, field+".Work", "a request runs %d ms, but its caller waits only %d ms", k.Work, k.Wait)
	requireWithin(c, field+".RequestsAMinute", k.RequestsAMinute, 1, maxRequestsAMinute)
	requireWithin(c, field+".Burst", k.Burst, 1, maxBurst)
}
