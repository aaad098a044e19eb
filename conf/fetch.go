package conf

import (
	"context"
	"encoding/json"

	"waxwing.example/croft"
)

// readSnapshot reads the snapshot object of the version that a head names and verifies its hash. Version zero is the
// empty configuration, which has no snapshot.
func readSnapshot(ctx context.Context, objects croft.Objects, h Head) (croft.Config, error) {
	if h.Version == 0 {
		return croft.Config{}, nil
	}
	name := objectName(h)
	body, err := objects.GetObject(ctx, name)
	if err != nil {
		return croft.Config{}, &PlatformError{Operation: "read " + name, Cause: err}
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

// Fetch returns the accepted configuration if it is newer than the known one, else the known one, and whether the
// platform confirmed the result as the newest.
func Fetch(
	ctx context.Context, table croft.Table, objects croft.Objects, known croft.Config,
) (croft.Config, bool, error) {
	head, confirmed, err := readHead(ctx, table)
	if err != nil {
		return known, false, err
	}
	if head.Version <= known.Version {
		return known, confirmed && head.Version == known.Version, nil
	}
	if c, complete := applyChangeRows(ctx, table, known, head.Head); complete {
		return c, confirmed, nil
	}
	c, err := readSnapshot(ctx, objects, head.Head)
	if err != nil {
		return known, false, err
	}
	return c, confirmed, nil
}

// applyChangeRows applies to a known configuration the change rows up to a head, and reports whether the result has the
// head's version and hash. It reports false without reading any if no configuration is known or if more than
// maxChangesApplied rows would be needed.
func applyChangeRows(ctx context.Context, table croft.Table, c croft.Config, h Head) (croft.Config, bool) {
	if c.Version == 0 || h.Version-c.Version > maxChangesApplied {
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
		c = applyDelta(c, d)
	}
	return c, c.Version == h.Version && Hash(c) == h.Hash
}
