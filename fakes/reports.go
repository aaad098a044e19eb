package fakes

import (
	"cmp"
	"context"
	"slices"

	"waxwing.example/croft"
)

// keptReports bounds the rounds of reports that are kept.
const keptReports = 120

// reportRound is what all workers reported at one instant.
type reportRound struct {
	Time    croft.Millis
	Reports []croft.WorkerReport
}

// reportLog is the latest rounds of reports.
type reportLog struct {
	// next is when the next round is due.
	next   croft.Millis
	rounds []reportRound
}

// takeReports makes the rounds that are due, before anything changes what they say.
func (p *Platform) takeReports() {
	now, every := p.options.Clock.Now(), p.options.ReportEveryMs
	if oldest := now - keptReports*every; p.reports.next < oldest {
		p.reports.next = oldest
	}
	for ; p.reports.next <= now; p.reports.next += every {
		p.reports.rounds = append(p.reports.rounds, p.round(p.reports.next))
	}
	if extra := len(p.reports.rounds) - keptReports; extra > 0 {
		p.reports.rounds = slices.Clone(p.reports.rounds[extra:])
	}
}

func (p *Platform) round(now croft.Millis) reportRound {
	r := reportRound{Time: now}
	for id, w := range p.workers {
		if w.vm.Status == croft.VMFailed {
			continue
		}
		report := croft.WorkerReport{VM: id, Taken: now, Boot: w.vm.Boot}
		for job, t := range w.tasks {
			report.Tasks = append(report.Tasks, t.report(job, now))
		}
		slices.SortFunc(report.Tasks, func(a, b croft.TaskReport) int { return cmp.Compare(a.Job, b.Job) })
		r.Reports = append(r.Reports, report)
	}
	slices.SortFunc(r.Reports, func(a, b croft.WorkerReport) int { return cmp.Compare(a.VM, b.VM) })
	return r
}

// Reports returns what some VMs said in the newest round made after an instant, as late as told.
func (p *Platform) Reports(_ context.Context, since croft.Millis, vms []croft.VMID) ([]croft.WorkerReport, error) {
	if err := p.admit(); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.takeReports()
	visible := p.options.Clock.Now() - p.options.ReportLagMs
	for _, r := range slices.Backward(p.reports.rounds) {
		if r.Time <= since {
			break
		}
		if r.Time <= visible {
			return r.of(vms), nil
		}
	}
	return nil, nil
}

func (r reportRound) of(vms []croft.VMID) []croft.WorkerReport {
	var found []croft.WorkerReport
	for _, w := range r.Reports {
		if slices.Contains(vms, w.VM) {
			found = append(found, w)
		}
	}
	return found
}
