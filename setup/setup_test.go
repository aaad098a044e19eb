package setup

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// minimalEntry is a settings file with only the required fields.
const minimalEntry = `{
	// The fields without a default.
	"DataCentre": "dc1",
	"OperatorToken": "operators-secret-1",
	"PeerKey": "entries-secret-001",
}`

func TestMinimalEntryFileGetsDefaults(t *testing.T) {
	e, err := ReadEntry("entry.json", []byte(minimalEntry))
	assert.NilError(t, err)
	want := DefaultEntry()
	want.DataCentre, want.OperatorToken, want.PeerKey = "dc1", "operators-secret-1", "entries-secret-001"
	assert.DeepEqual(t, e, want)
}

func TestAllFaultsAreReportedWithLineAndField(t *testing.T) {
	body := `{
	"DataCentre": "dc 1",
	"Callers": "localhost:7400",
	"callers": "127.0.0.1:7400",
	"Operators": "127.0.0.1:7401",
	"Operators": "127.0.0.1:7409",
	"SeedPeers": ["10.0.0.1:7402", "ten:1"],
	"OperatorToken": "short",
	"Log": {"Format": "xml", "Depth": 3},
	"Timing": {
		"StopWaitMs": 3000,
		"StopMs": 3000,
		"ProbeMs": "fast",
		"PollMs": 1.5
	},
	"Policies": {"Fence": null}
}`
	_, err := ReadEntry("entry.json", []byte(body))
	want := []string{
		"entry.json:1: PeerKey: must be given",
		"entry.json:2: DataCentre: must be 1 to 64 letters, digits, dots, hyphens or underscores, a letter or digit first",
		"entry.json:3: Callers: must be an IP number and a port, such as 10.0.0.1:7400",
		"entry.json:4: callers: unknown field, did you mean Callers?",
		"entry.json:6: Operators: given twice",
		"entry.json:7: SeedPeers[1]: must be an IP number and a port, such as 10.0.0.1:7400",
		"entry.json:8: OperatorToken: must be at least 16 characters long",
		"entry.json:9: Log.Depth: unknown field",
		"entry.json:9: Log.Format: must be one of text, json",
		"entry.json:12: Timing.StopMs: must be above StopWaitMs",
		"entry.json:13: Timing.ProbeMs: must be a whole number",
		"entry.json:14: Timing.PollMs: must be a whole number",
		"entry.json:16: Policies.Fence: must be true or false",
	}
	assert.Equal(t, err.Error(), strings.Join(want, "\n"))
}

func TestUnreadableFilesAreRejected(t *testing.T) {
	cases := []struct{ name, body, want string }{
		{"syntax", "{\n\"DataCentre\" \"dc1\"}", "f:2: column 14: "},
		{"kind", "[]", "f:1: must be an object"},
		{"depth", strings.Repeat("[", maxDepth+1), "f:0: nested deeper than 64"},
		{"size", strings.Repeat(" ", MaxFileBytes+1), "f:0: the file has 4194305 bytes, more than 4194304"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := ReadWax("f", []byte(c.body))
			assert.ErrorContains(t, err, c.want)
		})
	}
}

func TestEveryFieldIsDocumented(t *testing.T) {
	for _, f := range append(Fields(DefaultEntry()), Fields(DefaultWax())...) {
		assert.Assert(t, strings.HasSuffix(f.Doc, "."), f.Path)
	}
	assert.Equal(t, len(Fields(DefaultWax())), 3)
}

// FuzzReadEntry checks that accepted settings stay the same when they are written as JSON and read again, and that the
// error for rejected ones has at least one problem.
func FuzzReadEntry(f *testing.F) {
	f.Add([]byte(minimalEntry))
	f.Fuzz(func(t *testing.T, body []byte) {
		read, err := ReadEntry("f", body)
		var invalid *InvalidError
		if errors.As(err, &invalid) {
			assert.Assert(t, len(invalid.Problems) > 0)
			return
		}
		assert.NilError(t, err)
		written, err := json.Marshal(read)
		assert.NilError(t, err)
		again, err := ReadEntry("f", written)
		assert.NilError(t, err)
		rewritten, err := json.Marshal(again)
		assert.NilError(t, err)
		assert.Equal(t, string(rewritten), string(written))
	})
}

// Guards against files that need far more memory than their size once they are decoded.
func TestFileWithTooManyItemsIsNotDecoded(t *testing.T) {
	var into struct{ Names []string }
	list := func(count int) []byte { return []byte(`{"Names": [` + strings.Repeat(`"a",`, count-1) + `"a"]}`) }
	const around = 4
	assert.NilError(t, Decode("f", list(maxItems-around), &into))
	assert.Equal(t, len(into.Names), maxItems-around)
	for _, body := range [][]byte{list(maxItems), []byte("{" + strings.Repeat("\n", maxItems) + "}")} {
		var invalid *InvalidError
		assert.Assert(t, errors.As(Decode("f", body, &into), &invalid))
		assert.Equal(t, len(invalid.Problems), 1)
	}
}
