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

// membership replays every committed version of the member and plan rows in the order of the commits.
type membership struct {
	members map[croft.VMID]croft.Member
	plans   map[string]lease.Plan
	broken  []string
	// writes, moves, undone and takeovers count what the replay met.
	writes, moves, undone, takeovers int
}

// onepoolMain checks the history of the member rows at a platform and exits 1 where a law of moves is broken.
func onepoolMain() {
	vms := flag.Int("vms", 0, "VMs that must have a row")
	flag.Parse()
	m := membership{members: map[croft.VMID]croft.Member{}, plans: map[string]lease.Plan{}}
	for _, w := range history(flag.Arg(0)) {
		switch {
		case strings.HasPrefix(w.Key, croft.PlanPrefix):
			m.plan(w)
		case strings.HasPrefix(w.Key, croft.MemberPrefix):
			m.member(w)
		}
	}
	if len(m.members) != *vms {
		m.fail("%d VMs have a row, not %d", len(m.members), *vms)
	}
	for _, b := range m.broken[:min(len(m.broken), 10)] {
		fmt.Println(b)
	}
	fmt.Printf("onepool: %d broken; %d writes, %d moves, %d undone, %d takeovers; pending %d\n",
		len(m.broken), m.writes, m.moves, m.undone, m.takeovers, m.pending())
	if len(m.broken) > 0 {
		os.Exit(1)
	}
	os.Exit(0)
}

func history(address string) []fakes.Written {
	client := http.Client{Timeout: 10 * time.Second}
	res, err := client.Get("http://" + address + "/history")
	exitOn(err)
	defer func() { _ = res.Body.Close() }()
	var all []fakes.Written
	exitOn(json.NewDecoder(res.Body).Decode(&all))
	return all
}

func (m *membership) fail(format string, args ...any) {
	m.broken = append(m.broken, fmt.Sprintf(format, args...))
}

func (m *membership) plan(w fakes.Written) {
	var p lease.Plan
	if w.Deleted || json.Unmarshal(w.Value, &p) != nil {
		m.fail("%s@%d is no plan", w.Key, w.Version)
		return
	}
	if p.Epoch != m.plans[w.Key].Epoch+1 {
		m.fail("%s@%d epoch %d after %d", w.Key, w.Version, p.Epoch, m.plans[w.Key].Epoch)
	}
	if p.Epoch > 1 {
		m.takeovers++
	}
	m.plans[w.Key] = p
}

func (m *membership) member(w fakes.Written) {
	var next croft.Member
	if w.Deleted || json.Unmarshal(w.Value, &next) != nil || croft.MemberKey(next.VM) != w.Key || next.Pool == "" {
		m.fail("%s@%d is in no pool", w.Key, w.Version)
		return
	}
	m.writes++
	old, existed := m.members[next.VM]
	m.members[next.VM] = next
	if next.Epoch != old.Epoch+1 {
		m.fail("%s@%d epoch %d after %d", w.Key, w.Version, next.Epoch, old.Epoch)
	}
	if !existed {
		return
	}
	m.step(w, old, next)
	started := old.Phase == croft.PhaseServing && next.Purpose != croft.PurposeNone
	writer := strings.Split(next.Nonce, "/")
	if holder := m.plans[croft.PlanKey(old.Pool)].Holder; !started && (len(writer) != 3 || croft.EntryID(writer[1]) != holder) {
		m.fail("%s@%d written by %s, %s plans for pool %s", w.Key, w.Version, next.Nonce, holder, old.Pool)
	}
}

// step holds one write of a row against the phases that may follow each other.
func (m *membership) step(w fakes.Written, old, next croft.Member) {
	legal := false
	switch old.Phase {
	case croft.PhaseServing:
		legal = next.Phase != croft.PhaseAway && next.Pool == old.Pool
	case croft.PhaseDraining:
		legal = next.Phase != croft.PhaseAway || old.Purpose == croft.PurposeMaintain
	case croft.PhaseAway:
		legal = next.Phase != croft.PhaseAway && next.Pool == old.Pool
	}
	if next.Pool != old.Pool {
		m.moves++
		legal = legal && old.Purpose == croft.PurposeMove && old.Target == next.Pool && next.Boot > old.Boot
	}
	if old.Purpose == croft.PurposeMove && next.Phase == croft.PhaseDraining && next.Purpose == croft.PurposeNone {
		m.undone++
	}
	if !legal {
		m.fail("%s@%d goes from %+v to %+v", w.Key, w.Version, old, next)
	}
}

func (m *membership) pending() int {
	n := 0
	for _, v := range m.members {
		if v.Phase != croft.PhaseServing || v.Purpose != croft.PurposeNone {
			n++
		}
	}
	return n
}
