package meter

import (
	"encoding/json"
	"expvar"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

// Each count must be in one delta only, and requests of an undeclared class must not add an entry, since callers choose
// the class and could use up memory.
func TestDeltaReturnsEachCountOnceForDeclaredClasses(t *testing.T) {
	class := croft.Class{Service: "s", Kind: "k"}
	m := New()
	m.Declare(croft.Config{Services: []croft.Service{{ID: "s", Kinds: []croft.Kind{{ID: "k"}}}}})
	for range 5 {
		m.CountOffered(class)
	}
	m.CountOffered(croft.Class{Service: "made", Kind: "up"})
	m.CountEnded(Ended{Class: class, Outcome: croft.OutcomeAnswered, Latency: 40, Retried: 2})
	m.CountEnded(Ended{Class: class, Outcome: croft.OutcomeAnswered, Latency: 900_000, Late: true})
	m.CountEnded(Ended{Class: class, Outcome: croft.OutcomeNotRun})
	m.CountEnded(Ended{Class: class, Outcome: croft.OutcomeUnknown, Repeated: true})
	want := croft.ClassCount{Class: class, Offered: 5, Answered: 1, Late: 1, NotRun: 1, Unknown: 1, Retried: 2}
	assert.DeepEqual(t, m.Delta(), []croft.ClassCount{want})
	assert.Equal(t, len(m.Delta()), 0)
	assert.Equal(t, m.Undeclared(), int64(1))

	m.Publish("meter_test")
	var shown map[string]Totals
	assert.NilError(t, json.Unmarshal([]byte(expvar.Get("meter_test").String()), &shown))
	assert.Equal(t, len(shown), 1)
	assert.Equal(t, shown["s/k"].ClassCount, want)
	assert.Equal(t, shown["s/k"].Repeated, int64(1))
	assert.Equal(t, shown["s/k"].P50, int64(40))

	m.Declare(croft.Config{})
	assert.Equal(t, len(m.Snapshot()), 0)
}
