package audit

import (
	"fmt"
	"strings"

	"waxwing.example/croft"
)

// Level is how serious a finding is.
type Level string

// The levels of findings. Only warnings leave a configuration fit to be sent.
const (
	// Error means that an entry is invalid, or can never match a request.
	Error Level = "Error"
	// Contradiction means that limits cannot be met together.
	Contradiction Level = "Contradiction"
	// Warning means that an entry has no effect, or that the example job exceeds a limit which other jobs may keep.
	Warning Level = "Warning"
)

// Kind is the kind of entry to which a finding or a change belongs.
type Kind string

// The kinds of entries.
const (
	KindConfiguration Kind = "configuration"
	KindField         Kind = "field"
	KindQueue         Kind = "queue"
	KindPool          Kind = "pool"
	KindOrganisation  Kind = "organisation"
)

// Finding is one fault of a configuration.
type Finding struct {
	Level Level
	Rule  Rule
	Kind  Kind
	// ID is the ID of the entry or the path of the field, empty for the configuration and for an entry without ID.
	ID   string
	Text string
}

// String returns the finding as one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s: %s", strings.ToLower(string(f.Level)), subject(f.Kind, f.ID), f.Text)
}

// subject names an entry, quoted if the ID is empty or not a plain word.
func subject(kind Kind, id string) string {
	switch {
	case kind == KindConfiguration:
		return string(kind)
	case id == "" || strings.ContainsFunc(id, func(r rune) bool { return r <= ' ' || r > '~' }):
		return fmt.Sprintf("%s %q", kind, id)
	}
	return string(kind) + " " + id
}

// Options are what a configuration is checked against.
type Options struct {
	// InForce is the version in force, nil if it is not given.
	InForce *croft.QueueConfig
	// Job is an example of the jobs that callers submit, nil if none is given.
	Job *croft.JobSpec
	// JobBytes is the size of the example as a request body.
	JobBytes int64
}

// Check returns the findings of a configuration: those of the whole first, then of its queues, pools and organisations.
func Check(config croft.QueueConfig, options Options) []Finding {
	c := &checker{config: config, options: options}
	c.checkWhole()
	c.checkQueues()
	c.checkPools()
	c.checkOrganisations()
	return c.findings
}

// checker collects the findings of one configuration.
type checker struct {
	config   croft.QueueConfig
	options  Options
	findings []Finding
}

// add records a finding.
func (c *checker) add(level Level, rule Rule, kind Kind, id, format string, values ...any) {
	c.findings = append(c.findings, Finding{Level: level, Rule: rule, Kind: kind, ID: id, Text: fmt.Sprintf(format, values...)})
}

// checkIDs finds entries of one kind without ID, and IDs that an earlier entry has.
func (c *checker) checkIDs(kind Kind, ids []string) {
	seen := map[string]bool{}
	for i, id := range ids {
		switch {
		case id == "":
			c.add(Error, EmptyID, kind, id, "number %d in the file has no ID", i+1)
		case seen[id]:
			c.add(Error, DuplicateID, kind, id, "number %d in the file has the ID of an earlier one", i+1)
		}
		seen[id] = true
	}
}

// checkAmounts finds negative amounts.
func (c *checker) checkAmounts(kind Kind, id string, amounts ...amount) {
	for _, a := range amounts {
		if a.value < 0 {
			c.add(Error, NegativeAmount, kind, id, "%s is negative", a.name)
		}
	}
}

// amount is a value that must not be negative.
type amount struct {
	name  string
	value float64
}

// checkWhole checks what does not belong to one entry.
func (c *checker) checkWhole() {
	if old := c.options.InForce; old != nil && c.config.Version <= old.Version {
		c.add(Error, OldVersion, KindConfiguration, "", "version %d is not higher than version %d in force, so no entry would use it",
			c.config.Version, old.Version)
	}
	if c.options.Job != nil && c.options.JobBytes > c.config.BodyBytes {
		c.add(Contradiction, SmallBody, KindConfiguration, "", "the example job has %d bytes, a request body may have %d",
			c.options.JobBytes, c.config.BodyBytes)
	}
}
