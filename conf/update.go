package conf

import (
	"slices"

	"waxwing.example/croft"
)

// keptConfigs is how many earlier versions an entry keeps, to send what changed since.
const keptConfigs = 8

// Update leads an entry from the version that it knows to a higher one.
type Update struct {
	// Whole is the configuration itself, its version zero where Change leads to it.
	Whole croft.Config
	// Change holds the sections that differ from the version known.
	Change Delta
	// Hash is of the configuration after Change.
	Hash string
}

// withEarlier keeps a version that was in force among the last ones.
func (s State) withEarlier(c croft.Config) State {
	if c.Version == 0 {
		return s
	}
	first := max(0, len(s.earlier)+1-keptConfigs)
	s.earlier = append(slices.Clone(s.earlier[first:]), c)
	return s
}

// UpdateFrom returns what leads from a version to the one in force, and whether that one is higher.
func (s State) UpdateFrom(known uint64) (Update, bool) {
	if s.config.Version <= known {
		return Update{}, false
	}
	for _, c := range s.earlier {
		if c.Version == known {
			return Update{Change: deltaOf(c, s.config), Hash: Hash(s.config)}, true
		}
	}
	return Update{Whole: s.config}, true
}

// Apply returns the configuration that the update leads to, and whether the one known is the one that it started from.
func (u Update) Apply(known croft.Config) (croft.Config, bool) {
	if u.Whole.Version > 0 {
		return u.Whole, true
	}
	c := apply(known, u.Change)
	return c, Hash(c) == u.Hash
}
