package quest

import (
	"fmt"
	"reflect"
	"regexp"

	"waxwing.example/croft"
)

// Limits of the answers.
const (
	maxWorkers   = 100_000
	maxSlots     = 1000
	maxRate      = 10_000_000
	maxBurst     = 1000
	maxWait      = 5 * croft.Minute
	million      = 1_000_000
	spareName    = "spare"
	maxWaveSize  = 1000
	maxRepair    = 60
	maxFailures  = 1000
	maxQuotaSize = 1 << 40
	// maxWorkerSize bounds a VM's cores, gigabytes and accelerators.
	maxWorkerSize = 1 << 20
)

var segment = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._~-]{0,62}$`)

// Read returns the answers in a text, or an *AnswersError with all faults.
func Read(text []byte) (Answers, error) {
	root, fault := parse(text)
	if fault != nil {
		return Answers{}, &AnswersError{Problems: []Problem{*fault}}
	}
	d := newDecoder(text)
	var a Answers
	d.value(&root, "", reflect.ValueOf(&a).Elem())
	if len(d.problems) == 0 {
		d.check(a)
	}
	if len(d.problems) > 0 {
		return Answers{}, &AnswersError{Problems: d.problems}
	}
	return a, nil
}

func (d *decoder) require(holds bool, field, reason string, values ...any) {
	if !holds {
		d.fault(field, d.lineOf(field), reason, values...)
	}
}

func within[T int | int64 | croft.Millis](d *decoder, field string, value, least, most T) {
	d.require(value >= least && value <= most, field, "%d is not within %d and %d", value, least, most)
}

func (d *decoder) check(a Answers) {
	d.require(a.Firm != "", "Firm", "missing")
	d.require(len(a.DataCentres) > 0, "DataCentres", "none is named")
	d.require(len(a.Services) > 0, "Services", "none is described")
	within(d, "WorkersPerDataCentre", a.WorkersPerDataCentre, 1, maxWorkers)
	within(d, "Worker.Cores", a.Worker.Cores, 1, maxWorkerSize)
	within(d, "Worker.MemoryGB", a.Worker.MemoryGB, 1, maxWorkerSize)
	within(d, "Worker.Accelerators", a.Worker.Accelerators, 0, maxWorkerSize)
	within(d, "RackSize", a.RackSize, 1, maxWorkers)
	within(d, "Slots", a.Slots, 1, maxSlots)
	within(d, "FailuresADay", a.FailuresADay, 0, maxFailures)
	within(d, "RepairDays", a.RepairDays, 0, maxRepair)
	centres := map[string]bool{}
	for i, c := range a.DataCentres {
		d.name(fmt.Sprintf("DataCentres[%d]", i), string(c), centres)
	}
	teams := map[string]bool{}
	for i, t := range a.Teams {
		d.team(fmt.Sprintf("Teams[%d]", i), t, teams)
	}
	services := map[string]bool{spareName: true}
	for i, s := range a.Services {
		field := fmt.Sprintf("Services[%d]", i)
		d.require(teams[s.Team], field+".Team", "no team %q", s.Team)
		d.service(field, s, services)
	}
}

func (d *decoder) name(field, name string, taken map[string]bool) {
	d.require(segment.MatchString(name), field, "%q does not fit a path segment", name)
	d.require(!taken[name], field, "%q is taken", name)
	taken[name] = true
}

func (d *decoder) team(field string, t Team, taken map[string]bool) {
	d.name(field+".Name", t.Name, taken)
	within(d, field+".Cores", t.Cores, 0, maxQuotaSize)
	within(d, field+".MemoryGB", t.MemoryGB, 0, maxQuotaSize)
	within(d, field+".Accelerators", t.Accelerators, 0, maxQuotaSize)
}

func (d *decoder) service(field string, s Service, taken map[string]bool) {
	d.name(field+".Name", s.Name, taken)
	within(d, field+".Tolerance", s.Tolerance, 1, million)
	within(d, field+".WaveSize", s.WaveSize, 1, maxWaveSize)
	d.require(len(s.Kinds) > 0, field+".Kinds", "none is described")
	kinds := map[string]bool{}
	for i, k := range s.Kinds {
		d.kind(fmt.Sprintf("%s.Kinds[%d]", field, i), k, kinds)
	}
}

func (d *decoder) kind(field string, k Kind, taken map[string]bool) {
	d.name(field+".Name", k.Name, taken)
	_, known := urgencies[k.Urgent]
	d.require(known, field+".Urgent", "%q is not Now, Today or Whenever", k.Urgent)
	within(d, field+".Wait", k.Wait, 1, maxWait)
	within(d, field+".Work", k.Work, 1, maxWait)
	d.require(k.Work <= k.Wait, field+".Work", "a request runs %d ms, but its caller waits only %d ms", k.Work, k.Wait)
	within(d, field+".RequestsAMinute", k.RequestsAMinute, 1, maxRate)
	within(d, field+".Burst", k.Burst, 1, maxBurst)
}
