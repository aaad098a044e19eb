package conf

import (
	"slices"

	"waxwing.example/croft"
)

// maxEarlierConfigs is how many earlier versions an entry keeps, to send only the changes to peers that have one.
const maxEarlierConfigs = 8

// Update brings an entry from the version that it knows to a higher one. It holds either the whole configuration or a
// delta.
type Update struct {
	// Whole is the new configuration; if its version is zero, Change is applied instead.
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

// Apply returns the configuration that results from the update. It reports false if the hash of the result is wrong,
// because the known configuration differs from the one that the update was computed from.
func (u Update) Apply(known croft.Config) (croft.Config, bool) {
	if u.Whole.Version > 0 {
		return u.Whole, true
	}
	c := applyDelta(known, u.Change)
	return c, Hash(c) == u.Hash
}
