package fakes

import (
	"cmp"
	"context"
	"slices"

	"waxwing.example/croft"
)

// maxReportRounds limits the rounds of reports that are kept.
const maxReportRounds = 120

// reportRound has the reports that all workers made at one instant.
type reportRound struct {
	Time    croft.Millis
	Reports []croft.WorkerReport
}

// reportLog has the latest rounds of reports.
type reportLog struct {
	// nextAt is when the next round is due.
	nextAt croft.Millis
	rounds []reportRound
}

// generateReports adds the rounds that are due; it must be called before each change of the state that they report.
func (p *Platform) generateReports() {
	now, every := p.options.Clock.Now(), p.options.ReportEveryMs
	if oldest := now - maxReportRounds*every; p.reports.nextAt < oldest {
		p.reports.nextAt = oldest
	}
	for ; p.reports.nextAt <= now; p.reports.nextAt += every {
		p.reports.rounds = append(p.reports.rounds, p.newRound(p.reports.nextAt))
	}
	if extra := len(p.reports.rounds) - maxReportRounds; extra > 0 {
		p.reports.rounds = slices.Clone(p.reports.rounds[extra:])
	}
}

func (p *Platform) newRound(now croft.Millis) reportRound {
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

// Reports returns the reports of some VMs in the latest round that is at least ReportLagMs old, or none if that round is
// not newer than since.
func (p *Platform) Reports(_ context.Context, since croft.Millis, vms []croft.VMID) ([]croft.WorkerReport, error) {
	if err := p.injectFaults(); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.generateReports()
	visible := p.options.Clock.Now() - p.options.ReportLagMs
	for _, r := range slices.Backward(p.reports.rounds) {
		if r.Time <= since {
			break
		}
		if r.Time <= visible {
			return r.forVMs(vms), nil
		}
	}
	return nil, nil
}

// forVMs returns the reports of the given VMs.
func (r reportRound) forVMs(vms []croft.VMID) []croft.WorkerReport {
	var found []croft.WorkerReport
	for _, w := range r.Reports {
		if slices.Contains(vms, w.VM) {
			found = append(found, w)
		}
	}
	return found
}
