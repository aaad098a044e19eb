package model

import (
	"strings"

	"waxwing.example/croft"
	"waxwing.example/croft/quota"
	"waxwing.example/croft/sched"
)

// The organisations of Options.Caps and the shares of the jobs that belong to them; the rest belongs to none.
const (
	red   = croft.OrganisationID("red")
	blue  = croft.OrganisationID("blue")
	green = croft.OrganisationID("green")

	redShare, blueShare, greenShare = 0.4, 0.35, 0.1
	fillerShare                     = 0.15
)

// Caps of the organisations: red has more work than its cap allows in a peak, blue is limited by memory, and green never uses half of
// its cap. The endless tasks of one pool, all of red, leave room for its largest gang.
var organisations = []croft.Organisation{
	{ID: red, Cap: croft.Resources{MilliCores: 44_000}},
	{ID: blue, Cap: croft.Resources{MemoryMB: 40_000}},
	{ID: green, Cap: croft.Resources{MilliCores: 240_000}},
}

// Parameters of the invariants QUOTA and KEPT.
const (
	// overrunPercent is by how much the platform lets the use exceed a cap, beside one task.
	overrunPercent = 10
	// configTimeout is how long a former configuration may be in force after a newer one.
	configTimeout = 3 * croft.Second
	// keptLimit is how long a stage may be held while its organisation uses less than half of its cap, by the log, which says a second
	// later that it is not. With faults it is as long as the leases of an executor that is cut off,
	// and of the former leader.
	keptLimit       = 2 * croft.Second
	keptFaultyLimit = maxLease + 2*leaderLease + 2*croft.Second
)

// capState is what the invariants of caps need to know.
type capState struct {
	// history has the caps over time, the newest last.
	history []capChange
	// held are the stages that the current leader has logged as held by caps, with the time of that.
	held map[string]heldStage
	// underSince is since when an organisation has used less than half of its cap.
	underSince map[croft.OrganisationID]croft.Millis
}

// capChange is a set of caps that was configured at an instant.
type capChange struct {
	at   croft.Millis
	caps map[croft.OrganisationID]croft.Resources
}

// heldStage is a stage that waits for the cap of its organisation.
type heldStage struct {
	job   croft.JobID
	since croft.Millis
}

// createOrganisations configures the organisations, and reduces their caps for some seconds.
func (w *World) createOrganisations() {
	w.caps = capState{held: map[string]heldStage{}, underSince: map[croft.OrganisationID]croft.Millis{}}
	w.config.Organisations = organisations
	w.recordCaps()
	reduction := w.between(3000, 8000)
	w.schedule(reduction, func() { w.scaleCaps(60) })
	w.schedule(reduction+w.between(2000, 8000), func() { w.scaleCaps(100) })
	w.schedule(0, w.watchCaps)
}

// scaleCaps configures a part of the caps, in percent.
func (w *World) scaleCaps(percent int64) {
	scaled := make([]croft.Organisation, len(organisations))
	for i, o := range organisations {
		o.Cap.MilliCores, o.Cap.MemoryMB = o.Cap.MilliCores*percent/100, o.Cap.MemoryMB*percent/100
		scaled[i] = o
	}
	w.config.Version++
	w.config.Organisations = scaled
	w.recordCaps()
	config := w.config
	w.scheduleForLeader(w.between(5, 30), func() { w.deliver(sched.ConfigRead{Config: config}) })
}

func (w *World) recordCaps() {
	caps := map[croft.OrganisationID]croft.Resources{}
	for _, o := range w.config.Organisations {
		caps[o.ID] = o.Cap
	}
	w.caps.history = append(w.caps.history, capChange{at: w.now, caps: caps})
}

// highestCap returns the highest cap of an organisation that may have been in force since an instant.
func (w *World) highestCap(org croft.OrganisationID, since croft.Millis) croft.Resources {
	var highest croft.Resources
	for i, change := range w.caps.history {
		if i+1 < len(w.caps.history) && w.caps.history[i+1].at+configTimeout < since {
			continue
		}
		limit := change.caps[org]
		highest.MilliCores, highest.MemoryMB = max(highest.MilliCores, limit.MilliCores), max(highest.MemoryMB, limit.MemoryMB)
	}
	return highest
}

// drawOrganisation draws the organisation of a job.
func (w *World) drawOrganisation(pool int, endless bool) croft.OrganisationID {
	if !w.options.Caps {
		return ""
	}
	switch draw := w.rng.Float64(); {
	case endless:
		return map[int]croft.OrganisationID{0: red}[pool]
	case draw < redShare:
		return red
	case draw < redShare+blueShare:
		return blue
	case draw < redShare+blueShare+greenShare:
		return green
	default:
		return ""
	}
}

// runningUse returns what the executors run of an organisation.
func (w *World) runningUse(org croft.OrganisationID) (sum croft.Resources) {
	for _, x := range w.executors {
		for id := range x.runs {
			if t := w.jobs[id.Job]; t.record.Organisation == org {
				sum = sum.Plus(t.record.Spec.Steps[id.Step].Needs)
			}
		}
	}
	return sum
}

// checkCap checks that a start leaves its organisation within its cap, the overrun and one task, or gang. A late start may have been
// allowed by the caps of the time when it was sent.
func (w *World) checkCap(t *trackedJob, r *run, step croft.Step) {
	org := t.record.Organisation
	if org == "" {
		return
	}
	since := w.now
	if w.orderDelayed {
		since = w.orderSentAt
	}
	unit := quota.UnitNeeds(&step)
	limit := w.highestCap(org, since)
	use := w.runningUse(org).Plus(step.Needs)
	if exceedsCap(use.MilliCores, limit.MilliCores, unit.MilliCores) || exceedsCap(use.MemoryMB, limit.MemoryMB, unit.MemoryMB) {
		w.violation("QUOTA", "%s run %d makes organisation %s use %v, its cap is %v%s", r.task, r.number, org, use, limit, r.lateness)
	}
}

func exceedsCap(use, limit, unit int64) bool {
	return limit > 0 && use > limit*(100+overrunPercent)/100+unit
}

// recordCapLog records which stages the newest leader holds because of caps.
func (w *World) recordCapLog(d croft.Decision) {
	if d.Action != "Cap" || w.leader.term != w.term {
		return
	}
	if delete(w.caps.held, d.Subject); d.Choice == "Wait" {
		id, _, _ := strings.Cut(d.Subject, ".")
		w.caps.held[d.Subject] = heldStage{job: croft.JobID(id), since: w.now}
	}
}

// watchCaps checks at intervals that no stage is held for long whose organisation uses less than half of its cap.
func (w *World) watchCaps() {
	w.schedule(tickInterval, w.watchCaps)
	for _, o := range w.config.Organisations {
		if use := w.runningUse(o.ID); 2*use.MilliCores >= o.Cap.MilliCores && o.Cap.MilliCores > 0 || 2*use.MemoryMB >= o.Cap.MemoryMB && o.Cap.MemoryMB > 0 {
			w.caps.underSince[o.ID] = w.now
		}
	}
	limit := keptLimit
	if w.options.Faults || w.options.SameIDs {
		limit = keptFaultyLimit
	}
	for name, held := range w.caps.held {
		t := w.jobs[held.job]
		if t.status.Final() || t.cancelledAt != 0 {
			delete(w.caps.held, name)
			continue
		}
		if since := max(held.since, w.caps.underSince[t.record.Organisation]); w.now-since > limit {
			delete(w.caps.held, name)
			w.violation("KEPT", "%s waits for the cap of %s, which has used less than half of it for %d ms", name, t.record.Organisation, w.now-since)
		}
	}
}
