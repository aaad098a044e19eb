package conf

import (
	"fmt"
	"regexp"
	"strings"

	"waxwing.example/croft"
)

// Limits of what a configuration may declare.
const (
	maxDeadline  = 5 * croft.Minute
	wholeShare   = 1000
	wholePromise = 1_000_000
)

var segment = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._~-]{0,62}$`)

// Problem is one fault of a configuration.
type Problem struct {
	// Field is the path of the field, such as Services[intake].Kinds[reading].Deadline.
	Field  string
	Reason string
}

// CheckError lists all faults of a configuration.
type CheckError struct{ Problems []Problem }

// Error lists the faults, one a line.
func (e *CheckError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.Field+": "+p.Reason)
	}
	return strings.Join(lines, "\n")
}

type checker struct {
	config   croft.Config
	problems []Problem
	seen     map[string]bool
	floors   map[croft.PoolID]int
}

// Check returns a *CheckError with all faults of a configuration, or nil.
func Check(config croft.Config) error {
	c := &checker{config: config, seen: map[string]bool{}, floors: map[croft.PoolID]int{}}
	spares := 0
	for _, p := range config.Pools {
		c.pool(p)
		if p.Spare {
			spares++
		}
	}
	c.require(spares <= 1, "Pools", "%d pools are marked Spare, at most one may be", spares)
	teams := map[croft.TeamID]bool{}
	for _, t := range config.Teams {
		c.team(t)
		teams[t.ID] = true
	}
	for _, s := range config.Services {
		c.require(teams[s.Team], path("Services", s.ID)+".Team", "no team %q", s.Team)
		c.service(s)
	}
	for _, p := range config.Pools {
		c.require(c.floors[p.ID] <= wholeShare, path("Pools", p.ID),
			"the floors of its kinds are %d thousandths, more than %d", c.floors[p.ID], wholeShare)
	}
	if len(c.problems) > 0 {
		return &CheckError{Problems: c.problems}
	}
	return nil
}

func path[K ~string](list string, id K) string { return fmt.Sprintf("%s[%s]", list, id) }

func (c *checker) require(holds bool, field, reason string, values ...any) {
	if !holds {
		c.problems = append(c.problems, Problem{Field: field, Reason: fmt.Sprintf(reason, values...)})
	}
}

func (c *checker) name(field, id string) {
	c.require(segment.MatchString(id), field+".ID", "%q does not fit a path segment", id)
	c.require(!c.seen[field], field+".ID", "declared twice")
	c.seen[field] = true
}

func (c *checker) pool(p croft.Pool) {
	field := path("Pools", p.ID)
	c.name(field, string(p.ID))
	c.require(p.Promise >= 0 && p.Promise <= wholePromise, field+".Promise",
		"%d is not within 0 and %d", p.Promise, wholePromise)
	c.require(p.MinServing >= 0, field+".MinServing", "%d is negative", p.MinServing)
	c.require(p.Size >= 0, field+".Size", "%d is negative", p.Size)
	c.require(p.WaveSize >= 0, field+".WaveSize", "%d is negative", p.WaveSize)
	c.require(p.Size == 0 || p.MinServing+p.WaveSize <= p.Size, field+".WaveSize",
		"%d VMs away leave fewer than MinServing %d of Size %d, so the promise cannot be kept",
		p.WaveSize, p.MinServing, p.Size)
}

func (c *checker) team(t croft.Team) {
	field := path("Teams", t.ID)
	c.name(field, string(t.ID))
	c.require(t.Quota.MilliCores >= 0, field+".Quota.MilliCores", "%d is negative", t.Quota.MilliCores)
	c.require(t.Quota.MemoryMB >= 0, field+".Quota.MemoryMB", "%d is negative", t.Quota.MemoryMB)
	c.require(t.Quota.Accelerators >= 0, field+".Quota.Accelerators", "%d is negative", t.Quota.Accelerators)
}

func (c *checker) service(s croft.Service) {
	field := path("Services", s.ID)
	c.name(field, string(s.ID))
	pool, found := c.config.Pool(s.Pool)
	c.require(found, field+".Pool", "no pool %q", s.Pool)
	c.require(!pool.Spare, field+".Pool", "pool %q is the spare", s.Pool)
	c.require(len(s.Kinds) > 0, field+".Kinds", "no request kind is declared")
	for _, k := range s.Kinds {
		c.kind(field, k)
		c.floors[s.Pool] += max(0, k.FloorShare)
	}
}

func (c *checker) kind(above string, k croft.Kind) {
	field := above + "." + path("Kinds", k.ID)
	c.name(field, string(k.ID))
	c.require(k.Urgency >= 0, field+".Urgency", "%d is negative", k.Urgency)
	c.require(k.FloorShare >= 0 && k.FloorShare <= wholeShare, field+".FloorShare",
		"%d is not within 0 and %d thousandths", k.FloorShare, wholeShare)
	c.require(k.Deadline > 0 && k.Deadline <= maxDeadline, field+".Deadline",
		"%d ms is not within 1 and %d", k.Deadline, maxDeadline)
	c.require(k.MeanRate >= 0, field+".MeanRate", "%d is negative", k.MeanRate)
}
