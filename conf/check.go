package conf

import (
	"fmt"
	"regexp"
	"strings"

	"waxwing.example/croft"
)

// Limits of the values in a configuration.
const (
	maxDeadline = 5 * croft.Minute
	// maxShare is all of a pool's slots, in thousandths.
	maxShare = 1000
	// maxPromise is an availability target of 100 %, in parts per million.
	maxPromise = 1_000_000
)

// segmentPattern matches IDs that can stand as a segment of a URL path.
var segmentPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._~-]{0,62}$`)

// Problem is one invalid field of a configuration.
type Problem struct {
	// Field is the path of the field, with list items by ID, such as Services[intake].Kinds[reading].Deadline.
	Field  string
	Reason string
}

// CheckError lists all problems of a configuration.
type CheckError struct{ Problems []Problem }

// Error returns the problems, one a line.
func (e *CheckError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.Field+": "+p.Reason)
	}
	return strings.Join(lines, "\n")
}

// checker collects the problems of one configuration.
type checker struct {
	config   croft.Config
	problems []Problem
	// declared holds the field paths of the IDs seen so far, to find duplicates.
	declared map[string]bool
	// floorSums are the sums of the kinds' floors by pool, in thousandths.
	floorSums map[croft.PoolID]int
}

// Check returns a *CheckError with all problems of a configuration, or nil if it is valid.
func Check(config croft.Config) error {
	c := &checker{config: config, declared: map[string]bool{}, floorSums: map[croft.PoolID]int{}}
	spares := 0
	for _, p := range config.Pools {
		c.checkPool(p)
		if p.Spare {
			spares++
		}
	}
	c.require(spares <= 1, "Pools", "%d pools are marked Spare, at most one may be", spares)
	teams := map[croft.TeamID]bool{}
	for _, t := range config.Teams {
		c.checkTeam(t)
		teams[t.ID] = true
	}
	for _, s := range config.Services {
		c.require(teams[s.Team], fieldPath("Services", s.ID)+".Team", "no team %q", s.Team)
		c.checkService(s)
	}
	for _, p := range config.Pools {
		c.require(c.floorSums[p.ID] <= maxShare, fieldPath("Pools", p.ID),
			"the floors of its kinds are %d thousandths, more than %d", c.floorSums[p.ID], maxShare)
	}
	if len(c.problems) > 0 {
		return &CheckError{Problems: c.problems}
	}
	return nil
}

// fieldPath returns the path of a list item, such as Pools[p1].
func fieldPath[K ~string](list string, id K) string { return fmt.Sprintf("%s[%s]", list, id) }

// require records a problem of a field unless the condition holds.
func (c *checker) require(valid bool, field, format string, values ...any) {
	if !valid {
		c.problems = append(c.problems, Problem{Field: field, Reason: fmt.Sprintf(format, values...)})
	}
}

// checkID checks that an ID is a valid path segment and that its field path is unique.
func (c *checker) checkID(field, id string) {
	c.require(segmentPattern.MatchString(id), field+".ID", "%q does not fit a path segment", id)
	c.require(!c.declared[field], field+".ID", "declared twice")
	c.declared[field] = true
}

func (c *checker) checkPool(p croft.Pool) {
	field := fieldPath("Pools", p.ID)
	c.checkID(field, string(p.ID))
	c.require(p.Promise >= 0 && p.Promise <= maxPromise, field+".Promise",
		"%d is not within 0 and %d", p.Promise, maxPromise)
	c.require(p.MinServing >= 0, field+".MinServing", "%d is negative", p.MinServing)
	c.require(p.Size >= 0, field+".Size", "%d is negative", p.Size)
	c.require(p.WaveSize >= 0, field+".WaveSize", "%d is negative", p.WaveSize)
	c.require(p.Size == 0 || p.MinServing+p.WaveSize <= p.Size, field+".WaveSize",
		"%d VMs away leave fewer than MinServing %d of Size %d, so the promise cannot be kept",
		p.WaveSize, p.MinServing, p.Size)
}

func (c *checker) checkTeam(t croft.Team) {
	field := fieldPath("Teams", t.ID)
	c.checkID(field, string(t.ID))
	c.require(t.Quota.MilliCores >= 0, field+".Quota.MilliCores", "%d is negative", t.Quota.MilliCores)
	c.require(t.Quota.MemoryMB >= 0, field+".Quota.MemoryMB", "%d is negative", t.Quota.MemoryMB)
	c.require(t.Quota.Accelerators >= 0, field+".Quota.Accelerators", "%d is negative", t.Quota.Accelerators)
}

func (c *checker) checkService(s croft.Service) {
	field := fieldPath("Services", s.ID)
	c.checkID(field, string(s.ID))
	pool, found := c.config.Pool(s.Pool)
	c.require(found, field+".Pool", "no pool %q", s.Pool)
	c.require(!pool.Spare, field+".Pool", "pool %q is the spare", s.Pool)
	c.require(len(s.Kinds) > 0, field+".Kinds", "no request kind is declared")
	for _, k := range s.Kinds {
		c.checkKind(field, k)
		c.floorSums[s.Pool] += max(0, k.FloorShare)
	}
}

func (c *checker) checkKind(parent string, k croft.Kind) {
	field := parent + "." + fieldPath("Kinds", k.ID)
	c.checkID(field, string(k.ID))
	c.require(k.Urgency >= 0, field+".Urgency", "%d is negative", k.Urgency)
	c.require(k.FloorShare >= 0 && k.FloorShare <= maxShare, field+".FloorShare",
		"%d is not within 0 and %d thousandths", k.FloorShare, maxShare)
	c.require(k.Deadline > 0 && k.Deadline <= maxDeadline, field+".Deadline",
		"%d ms is not within 1 and %d", k.Deadline, maxDeadline)
	c.require(k.MeanRate >= 0, field+".MeanRate", "%d is negative", k.MeanRate)
}
