package survey

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"waxwing.example/croft/conf"
)

func readExample(t *testing.T, name string) Answers {
	text, found := Example(name)
	assert.Assert(t, found)
	a, err := Read(text)
	assert.NilError(t, err)
	return a
}

func TestExamplesGenerateTheGoldenConfigs(t *testing.T) {
	for _, name := range Examples() {
		config, err := Generate(readExample(t, name))
		assert.NilError(t, err)
		golden.Assert(t, string(conf.Encode(config))+"\n", name+".json")
		total := 0
		for _, p := range config.Pools {
			total += p.Size
			t.Logf("%s pool %s: size %d, at least %d, promise %d", name, p.ID, p.Size, p.MinServing, p.Promise)
			assert.Assert(t, p.Spare || p.Size >= 8 && p.Size <= 12, "%s: %d", p.ID, p.Size)
		}
		assert.Equal(t, len(config.Services), 5)
		assert.Assert(t, total >= 48 && total <= 52)
	}
}

func TestContradictionErrorStatesItsNumbers(t *testing.T) {
	a := readExample(t, "saeng")
	a.RepairDays = 30
	_, err := Generate(a)
	var found *ContradictionError
	assert.Assert(t, errors.As(err, &found))
	assert.Equal(t, found.Workers, 52)
	assert.Assert(t, found.Needed() > 52)
	assert.ErrorContains(t, err, "fail a day and are away for 30 days")
	assert.ErrorContains(t, err, "slots while reading has its burst")
}

// Both a rack too large for the spare VMs and quotas above what the VMs have must be reported, each with its numbers.
func TestRackFailureAndQuotasAreChecked(t *testing.T) {
	a := readExample(t, "sohar")
	a.RackSize = 12
	a.Teams[0].MemoryGB = 900
	_, err := Generate(a)
	var found *ContradictionError
	assert.Assert(t, errors.As(err, &found))
	assert.Equal(t, found.Spare(), 2+12)
	assert.ErrorContains(t, err, "14: a rack of 12 fails as a whole while 2 are away as on an ordinary day")
	var quota *QuotaError
	assert.Assert(t, errors.As(err, &quota))
	assert.Equal(t, quota.Error(),
		"the teams' quotas of MemoryGB are 1500 together (trust 900, halls 600), but 48 VMs of 30 have 1440")
}

// TestMaxUnderRepair compares the quantiles with tables of the Poisson distribution for the means 1 and 5.
func TestMaxUnderRepair(t *testing.T) {
	for _, testCase := range []struct{ rate, covered int }{{10, 4}, {50, 11}} {
		got := maxUnderRepair(ContradictionError{Workers: 100, FailuresADay: testCase.rate, RepairDays: 1, Tolerance: 10_000})
		assert.Equal(t, got, testCase.covered)
	}
}

func TestReadReportsAllProblemsWithTheirLines(t *testing.T) {
	text, _ := Example("saeng")
	faulty := strings.Replace(string(text), `"RackSize": 4`, `"RackSize": "four"`, 1)
	faulty = strings.Replace(faulty, `"Slots": 8`, `"Slot": 8`, 1)
	_, err := Read([]byte(faulty))
	assert.Error(t, err, "line 7: RackSize: must be a whole number\nline 8: Slot: unknown field")
	faulty = strings.Replace(string(text), `"Wait": 2000`, `"Wait": 20`, 1)
	faulty = strings.Replace(faulty, `"Urgent": "Whenever"`, `"Urgent": "Soon"`, 1)
	faulty = strings.Replace(faulty, `"Team": "saeng"`, `"Team": "sang"`, 1)
	_, err = Read([]byte(faulty))
	assert.Error(t, err, strings.Join([]string{
		"line 23: Services[0].Kinds[0].Work: a request runs 100 ms, but its caller waits only 20 ms",
		`line 25: Services[0].Kinds[2].Urgent: "Soon" is not Now, Today or Whenever`,
		`line 47: Services[3].Team: no team "sang"`,
	}, "\n"))
	_, err = Read([]byte("{\n\"Firm\" 1}"))
	assert.ErrorContains(t, err, "line 2: answers:")
}

func FuzzRead(f *testing.F) {
	for _, name := range Examples() {
		text, _ := Example(name)
		f.Add(text)
	}
	f.Add([]byte(`{"Firm": null, "Teams": [[]], "Services": {"": 1}}`))
	f.Add([]byte(`{"Slots": 1e400, "RackSize": -0, "Firm": "\ud800", /* */}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, text []byte) {
		a, err := Read(text)
		var faults *AnswersError
		if err != nil {
			assert.Assert(t, errors.As(err, &faults) && len(faults.Problems) > 0)
			return
		}
		if a.WorkersPerDataCentre*len(a.DataCentres) > 5600 {
			return
		}
		first, firstErr := Generate(a)
		second, _ := Generate(a)
		assert.Equal(t, conf.Hash(first), conf.Hash(second))
		var contradiction *ContradictionError
		var quota *QuotaError
		known := firstErr == nil || errors.As(firstErr, &contradiction) || errors.As(firstErr, &quota)
		assert.Assert(t, known, "%v", firstErr)
		assert.Assert(t, firstErr != nil || first.Version == 0)
	})
}
