package conf

import (
	"context"
	"encoding/json"

	"waxwing.example/croft"
)

// snapshot reads the whole configuration that a head names.
func snapshot(ctx context.Context, objects croft.Objects, h Head) (croft.Config, error) {
	if h.Version == 0 {
		return croft.Config{}, nil
	}
	name := objectName(h)
	body, err := objects.GetObject(ctx, name)
	if err != nil {
		return croft.Config{}, &PlatformError{Doing: "read " + name, Cause: err}
	}
	var c croft.Config
	if err := json.Unmarshal(body, &c); err != nil {
		return croft.Config{}, &DamagedError{Name: name, Reason: err.Error()}
	}
	if c.Version != h.Version || Hash(c) != h.Hash {
		return croft.Config{}, &DamagedError{Name: name, Reason: "the hash differs from the head's"}
	}
	return c, nil
}

// Fetch returns the configuration in force if it is above the one known, and whether the platform confirmed it as the newest.
func Fetch(
	ctx context.Context, table croft.Table, objects croft.Objects, above croft.Config,
) (croft.Config, bool, error) {
	head, confirmed, err := readHead(ctx, table)
	if err != nil {
		return above, false, err
	}
	if head.Version <= above.Version {
		return above, confirmed && head.Version == above.Version, nil
	}
	if c, chained := chain(ctx, table, above, head.Head); chained {
		return c, confirmed, nil
	}
	c, err := snapshot(ctx, objects, head.Head)
	if err != nil {
		return above, false, err
	}
	return c, confirmed, nil
}

// chain applies the change rows that lead to a head, and reports whether they do.
func chain(ctx context.Context, table croft.Table, c croft.Config, h Head) (croft.Config, bool) {
	if c.Version == 0 || h.Version-c.Version > chainLength {
		return c, false
	}
	rows, err := table.Scan(ctx, croft.Range{
		Prefix: changePrefix,
		After:  changeKey(c.Version),
		Limit:  int(h.Version - c.Version),
	})
	if err != nil {
		return c, false
	}
	for _, r := range rows {
		var d Delta
		if json.Unmarshal(r.Value, &d) != nil || d.Version != c.Version+1 {
			return c, false
		}
		c = apply(c, d)
	}
	return c, c.Version == h.Version && Hash(c) == h.Hash
}
