package scen

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"waxwing.example/croft"
	"waxwing.example/croft/fakes"
	"waxwing.example/croft/lease"
)

// membershipReplay checks every committed version of the member and plan rows in commit order.
type membershipReplay struct {
	members    map[croft.VMID]croft.Member
	plans      map[string]lease.Plan
	violations []string
	// writes, moves, undone and takeovers count the events of the history.
	writes, moves, undone, takeovers int
}

// onepoolMain checks the history of the member rows at a platform and exits with 1 if an invariant of moves is violated.
func onepoolMain() {
	vms := flag.Int("vms", 0, "number of VMs that must have a member row")
	flag.Parse()
	m := membershipReplay{members: map[croft.VMID]croft.Member{}, plans: map[string]lease.Plan{}}
	for _, w := range fetchHistory(flag.Arg(0)) {
		switch {
		case strings.HasPrefix(w.Key, croft.PlanPrefix):
			m.applyPlan(w)
		case strings.HasPrefix(w.Key, croft.MemberPrefix):
			m.applyMember(w)
		}
	}
	if len(m.members) != *vms {
		m.addViolation("%d VMs have a row, not %d", len(m.members), *vms)
	}
	for _, v := range m.violations[:min(len(m.violations), 10)] {
		fmt.Println(v)
	}
	fmt.Printf("onepool: %d broken; %d writes, %d moves, %d undone, %d takeovers; pending %d\n",
		len(m.violations), m.writes, m.moves, m.undone, m.takeovers, m.countPending())
	if len(m.violations) > 0 {
		os.Exit(1)
	}
	os.Exit(0)
}

// fetchHistory returns every committed write of the platform's table.
func fetchHistory(address string) []fakes.Written {
	client := http.Client{Timeout: 10 * time.Second}
	res, err := client.Get("http://" + address + "/history")
	exitOnError(err)
	defer func() { _ = res.Body.Close() }()
	var all []fakes.Written
	exitOnError(json.NewDecoder(res.Body).Decode(&all))
	return all
}

func (m *membershipReplay) addViolation(format string, args ...any) {
	m.violations = append(m.violations, fmt.Sprintf(format, args...))
}

// applyPlan checks that a write of a plan row raises its epoch by one, and counts takeovers.
func (m *membershipReplay) applyPlan(w fakes.Written) {
	var p lease.Plan
	if w.Deleted || json.Unmarshal(w.Value, &p) != nil {
		m.addViolation("%s@%d is no plan", w.Key, w.Version)
		return
	}
	if p.Epoch != m.plans[w.Key].Epoch+1 {
		m.addViolation("%s@%d epoch %d after %d", w.Key, w.Version, p.Epoch, m.plans[w.Key].Epoch)
	}
	if p.Epoch > 1 {
		m.takeovers++
	}
	m.plans[w.Key] = p
}

// applyMember checks one write of a member row: its epoch, its transition, and that the pool's planner wrote it
// unless the write starts an operation on a serving VM.
func (m *membershipReplay) applyMember(w fakes.Written) {
	var next croft.Member
	if w.Deleted || json.Unmarshal(w.Value, &next) != nil || croft.MemberKey(next.VM) != w.Key || next.Pool == "" {
		m.addViolation("%s@%d is in no pool", w.Key, w.Version)
		return
	}
	m.writes++
	old, existed := m.members[next.VM]
	m.members[next.VM] = next
	if next.Epoch != old.Epoch+1 {
		m.addViolation("%s@%d epoch %d after %d", w.Key, w.Version, next.Epoch, old.Epoch)
	}
	if !existed {
		return
	}
	m.checkTransition(w, old, next)
	started := old.Phase == croft.PhaseServing && next.Purpose != croft.PurposeNone
	writer := strings.Split(next.Nonce, "/")
	if holder := m.plans[croft.PlanKey(old.Pool)].Holder; !started && (len(writer) != 3 || croft.EntryID(writer[1]) != holder) {
		m.addViolation("%s@%d written by %s, %s plans for pool %s", w.Key, w.Version, next.Nonce, holder, old.Pool)
	}
}

// checkTransition checks that the new phase, pool and purpose of a member row may follow the old ones.
func (m *membershipReplay) checkTransition(w fakes.Written, old, next croft.Member) {
	allowed := false
	switch old.Phase {
	case croft.PhaseServing:
		allowed = next.Phase != croft.PhaseAway && next.Pool == old.Pool
	case croft.PhaseDraining:
		allowed = next.Phase != croft.PhaseAway || old.Purpose == croft.PurposeMaintain
	case croft.PhaseAway:
		allowed = next.Phase != croft.PhaseAway && next.Pool == old.Pool
	}
	if next.Pool != old.Pool {
		m.moves++
		allowed = allowed && old.Purpose == croft.PurposeMove && old.Target == next.Pool && next.Boot > old.Boot
	}
	if old.Purpose == croft.PurposeMove && next.Phase == croft.PhaseDraining && next.Purpose == croft.PurposeNone {
		m.undone++
	}
	if !allowed {
		m.addViolation("%s@%d goes from %+v to %+v", w.Key, w.Version, old, next)
	}
}

// countPending returns the number of VMs whose last operation has not ended.
func (m *membershipReplay) countPending() int {
	n := 0
	for _, v := range m.members {
		if v.Phase != croft.PhaseServing || v.Purpose != croft.PurposeNone {
			n++
		}
	}
	return n
}
