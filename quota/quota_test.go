package quota

import (
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

func cores(n int64) croft.Resources { return croft.Resources{MilliCores: n * 1000} }

// Guards against use beyond a cap, against a task that never runs since a cap was reduced below its needs, and against caps that
// limit amounts of which they say nothing.
func TestAllows(t *testing.T) {
	limit := croft.Resources{MilliCores: 10_000, Accelerators: 4}
	for _, c := range []struct {
		use, needs croft.Resources
		want       bool
	}{
		{cores(0), cores(10), true},
		{cores(9), cores(1), true},
		{cores(9), cores(2), false},
		{cores(5), cores(6), true},
		{cores(6), cores(5), false},
		{cores(0), cores(30), true},
		{cores(11), cores(0), false},
		{croft.Resources{MemoryMB: 1 << 40}, croft.Resources{MemoryMB: 1 << 40}, true},
		{croft.Resources{Accelerators: 3}, croft.Resources{Accelerators: 2}, false},
		{croft.Resources{Accelerators: 2}, croft.Resources{Accelerators: 3}, true},
		{croft.Resources{MilliCores: 9000, Accelerators: 0}, croft.Resources{MilliCores: 2000, Accelerators: 1}, false},
	} {
		var l Ledger
		l.Add("a", c.use)
		assert.Equal(t, l.Allows("a", limit, c.needs), c.want, "%v beside %v", c.needs, c.use)
		assert.Assert(t, l.Allows("b", limit, cores(10)))
	}
}

// Guards against uses that are counted for ever, and against runs that no list has shown yet and that are not counted.
func TestLedgerCountsWhatIsAddedAndUnseen(t *testing.T) {
	var l Ledger
	l.Add("a", cores(3))
	l.Add("a", cores(2))
	l.Remove("a", cores(3))
	l.SetUnseen(map[croft.OrganisationID]croft.Resources{"a": cores(4), "b": cores(1)})
	assert.DeepEqual(t, l.Uses(), map[croft.OrganisationID]croft.Resources{"a": cores(6), "b": cores(1)})
	assert.Equal(t, l.Reason("a", cores(6), cores(1)), "organisation a uses 6000 thousandths of a core of its cap of 6000 thousandths of a core and needs 1000 thousandths of a core")
	l.SetUnseen(nil)
	l.Remove("a", cores(2))
	assert.Equal(t, len(l.Uses()), 0)
}

// Guards against jobs that are accepted although a task or a gang of theirs can never fit the cap, and against others that are not.
func TestCheckSpec(t *testing.T) {
	limit := croft.Resources{MilliCores: 9000, MemoryMB: 100}
	for _, c := range []struct {
		step croft.Step
		want string
	}{
		{croft.Step{Count: 50, Needs: cores(9)}, ""},
		{croft.Step{Count: 3, Needs: cores(3), Gang: true}, ""},
		{croft.Step{Count: 1, Needs: croft.Resources{Accelerators: 8}}, ""},
		{croft.Step{Count: 1, Needs: cores(10)}, "job: step 1: a task needs 10000 thousandths of a core, the cap of the organisation is 9000"},
		{croft.Step{Count: 1, Needs: cores(10), Filler: true}, "job: step 1: a task needs 10000 thousandths of a core, the cap of the organisation is 9000"},
		{croft.Step{Count: 3, Needs: croft.Resources{MemoryMB: 40}, Gang: true}, "job: step 1: the gang of 3 tasks needs 120 MB of memory, the cap of the organisation is 100"},
	} {
		err := CheckSpec(limit, croft.JobSpec{Steps: []croft.Step{{Count: 1}, c.step}})
		if c.want == "" {
			assert.NilError(t, err)
			continue
		}
		assert.Error(t, err, c.want)
	}
}
