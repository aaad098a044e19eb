package conf

import (
	"slices"

	"waxwing.example/croft"
)

// maxEarlierConfigs is how many earlier versions an entry keeps, to send only the changes to peers that have one.
const maxEarlierConfigs = 8

// Update brings an entry from the version that it knows to a higher one, by the whole configuration or by a delta.
type Update struct {
	// Whole is the new configuration; its version is zero where Change is to be applied instead.
	Whole croft.Config
	// Change is the delta from the known version.
	Change Delta
	// Hash is the hash of the configuration after Change.
	Hash string
}

// withEarlier adds a version to the earlier ones and drops the oldest beyond maxEarlierConfigs.
func (s State) withEarlier(c croft.Config) State {
	if c.Version == 0 {
		return s
	}
	first := max(0, len(s.earlier)+1-maxEarlierConfigs)
	s.earlier = append(slices.Clone(s.earlier[first:]), c)
	return s
}

// UpdateFrom returns the update from a known version to the current one, and whether the current one is higher.
func (s State) UpdateFrom(known uint64) (Update, bool) {
	if s.config.Version <= known {
		return Update{}, false
	}
	for _, c := range s.earlier {
		if c.Version == known {
			return Update{Change: deltaBetween(c, s.config), Hash: Hash(s.config)}, true
		}
	}
	return Update{Whole: s.config}, true
}

// Apply returns the configuration that the update leads to, and whether its hash shows that the known configuration is
// the one that the update was made for.
func (u Update) Apply(known croft.Config) (croft.Config, bool) {
	if u.Whole.Version > 0 {
		return u.Whole, true
	}
	c := applyDelta(known, u.Change)
	return c, Hash(c) == u.Hash
}
