package conf

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"waxwing.example/croft"
)

// Head is the stored row that names the accepted configuration.
type Head struct {
	Version uint64
	// Hash is the SHA-256 of the encoded configuration in hexadecimal.
	Hash string
	// Nonce is unique to this write, so that its writer recognises it after a lost answer.
	Nonce string
	// Who is the operator that accepted the version.
	Who string
}

// Delta is the difference between two configurations; change rows store the one from each version to the next.
type Delta struct {
	// Version is the version that results from the delta.
	Version uint64
	// Pools, Services and Teams are the sections that were added or changed, each in full.
	Pools    []croft.Pool
	Services []croft.Service
	Teams    []croft.Team
	// Gone lists the sections that were removed.
	Gone Removed
}

// Removed lists the IDs of the sections that a delta removes.
type Removed struct {
	Pools    []croft.PoolID
	Services []croft.ServiceID
	Teams    []croft.TeamID
}

// Normalize returns a copy of the configuration whose sections are sorted by ID.
func Normalize(c croft.Config) croft.Config {
	c.Pools = sortByID(c.Pools, poolID)
	c.Services = sortByID(c.Services, serviceID)
	c.Teams = sortByID(c.Teams, teamID)
	return c
}

func poolID(p croft.Pool) croft.PoolID          { return p.ID }
func serviceID(s croft.Service) croft.ServiceID { return s.ID }
func teamID(t croft.Team) croft.TeamID          { return t.ID }

func sortByID[T any, K cmp.Ordered](sections []T, id func(T) K) []T {
	if len(sections) == 0 {
		return nil
	}
	sections = slices.Clone(sections)
	slices.SortStableFunc(sections, func(a, b T) int { return cmp.Compare(id(a), id(b)) })
	return sections
}

// Encode returns the canonical encoding of a configuration, from which its hash is computed.
func Encode(c croft.Config) []byte { return encode(Normalize(c)) }

func encode(value any) []byte {
	bytes, err := json.Marshal(value)
	if err != nil {
		panic(err) // plain structs of strings and integers always encode
	}
	return bytes
}

// Hash returns the SHA-256 of a configuration's canonical encoding in hexadecimal.
func Hash(c croft.Config) string {
	sum := sha256.Sum256(Encode(c))
	return hex.EncodeToString(sum[:])
}

// deltaBetween returns the delta that turns one configuration into another.
func deltaBetween(from, to croft.Config) Delta {
	d := Delta{Version: to.Version}
	d.Pools, d.Gone.Pools = diffByID(from.Pools, to.Pools, poolID)
	d.Services, d.Gone.Services = diffByID(from.Services, to.Services, serviceID)
	d.Teams, d.Gone.Teams = diffByID(from.Teams, to.Teams, teamID)
	return d
}

// diffByID returns the sections in to that are new or differ from those in from, and the sorted IDs of the sections that
// are only in from.
func diffByID[T any, K cmp.Ordered](from, to []T, id func(T) K) (changed []T, gone []K) {
	old := map[K]string{}
	for _, s := range from {
		old[id(s)] = string(encode(s))
	}
	for _, s := range to {
		if old[id(s)] != string(encode(s)) {
			changed = append(changed, s)
		}
		delete(old, id(s))
	}
	for k := range old {
		gone = append(gone, k)
	}
	slices.Sort(gone)
	return changed, gone
}

// applyDelta returns the configuration that results from applying a delta.
func applyDelta(c croft.Config, d Delta) croft.Config {
	c.Version = d.Version
	c.Pools = mergeByID(c.Pools, d.Pools, d.Gone.Pools, poolID)
	c.Services = mergeByID(c.Services, d.Services, d.Gone.Services, serviceID)
	c.Teams = mergeByID(c.Teams, d.Teams, d.Gone.Teams, teamID)
	return Normalize(c)
}

// mergeByID returns the sections with the changed ones added or replaced and the gone ones removed.
func mergeByID[T any, K cmp.Ordered](sections, changed []T, gone []K, id func(T) K) []T {
	dropped := map[K]bool{}
	for _, k := range gone {
		dropped[k] = true
	}
	for _, s := range changed {
		dropped[id(s)] = true
	}
	var kept []T
	for _, s := range sections {
		if !dropped[id(s)] {
			kept = append(kept, s)
		}
	}
	return append(kept, changed...)
}
