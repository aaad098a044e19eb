package conf

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"waxwing.example/croft"
)

// Head is the row that names the accepted configuration.
type Head struct {
	Version uint64
	// Hash is the SHA-256 of the whole configuration in hexadecimal.
	Hash string
	// Nonce is the writer's own mark of this write.
	Nonce string
	// Who accepted it.
	Who string
}

// Delta is a change row: the sections that differ from the version before.
type Delta struct {
	Version  uint64
	Pools    []croft.Pool
	Services []croft.Service
	Teams    []croft.Team
	// Gone lists the removed sections.
	Gone Removed
}

// Removed names the sections that a version no longer has.
type Removed struct {
	Pools    []croft.PoolID
	Services []croft.ServiceID
	Teams    []croft.TeamID
}

// Normalize returns the configuration with its sections in the order of their names.
func Normalize(c croft.Config) croft.Config {
	c.Pools = sorted(c.Pools, poolID)
	c.Services = sorted(c.Services, serviceID)
	c.Teams = sorted(c.Teams, teamID)
	return c
}

func poolID(p croft.Pool) croft.PoolID          { return p.ID }
func serviceID(s croft.Service) croft.ServiceID { return s.ID }
func teamID(t croft.Team) croft.TeamID          { return t.ID }

func sorted[T any, K cmp.Ordered](sections []T, id func(T) K) []T {
	if len(sections) == 0 {
		return nil
	}
	sections = slices.Clone(sections)
	slices.SortStableFunc(sections, func(a, b T) int { return cmp.Compare(id(a), id(b)) })
	return sections
}

// Encode returns the bytes of a configuration that its hash is made of.
func Encode(c croft.Config) []byte { return encode(Normalize(c)) }

func encode(value any) []byte {
	bytes, err := json.Marshal(value)
	if err != nil {
		panic(err) // plain structs of strings and integers always encode
	}
	return bytes
}

// Hash returns the SHA-256 of a configuration's content in hexadecimal.
func Hash(c croft.Config) string {
	sum := sha256.Sum256(Encode(c))
	return hex.EncodeToString(sum[:])
}

// deltaOf returns what leads from one configuration to another.
func deltaOf(from, to croft.Config) Delta {
	d := Delta{Version: to.Version}
	d.Pools, d.Gone.Pools = differing(from.Pools, to.Pools, poolID)
	d.Services, d.Gone.Services = differing(from.Services, to.Services, serviceID)
	d.Teams, d.Gone.Teams = differing(from.Teams, to.Teams, teamID)
	return d
}

func differing[T any, K cmp.Ordered](from, to []T, id func(T) K) (changed []T, gone []K) {
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

// apply returns the configuration after a change.
func apply(c croft.Config, d Delta) croft.Config {
	c.Version = d.Version
	c.Pools = replaced(c.Pools, d.Pools, d.Gone.Pools, poolID)
	c.Services = replaced(c.Services, d.Services, d.Gone.Services, serviceID)
	c.Teams = replaced(c.Teams, d.Teams, d.Gone.Teams, teamID)
	return Normalize(c)
}

func replaced[T any, K cmp.Ordered](sections, changed []T, gone []K, id func(T) K) []T {
	drop := map[K]bool{}
	for _, k := range gone {
		drop[k] = true
	}
	for _, s := range changed {
		drop[id(s)] = true
	}
	var kept []T
	for _, s := range sections {
		if !drop[id(s)] {
			kept = append(kept, s)
		}
	}
	return append(kept, changed...)
}
