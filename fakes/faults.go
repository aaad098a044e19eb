package fakes

import (
	"fmt"
	"net/http"

	"waxwing.example/croft"
	"waxwing.example/croft/plat"
)

// Faults are what a platform is told to do wrong.
type Faults struct {
	// Down refuses everything and does nothing.
	Down bool
	// SlowMs is how long each request waits before it takes effect, also where its caller has gone.
	SlowMs croft.Millis
	// LoseAnswers is how many of the next transactions are decided without an answer.
	LoseAnswers int
	// OldReads keeps the table's reads at the state they had when it was set.
	OldReads bool
	// OldList keeps the VM list at the state it had when it was set.
	OldList bool
	// FailWorkers are workers that fail every task.
	FailWorkers []croft.VMID
	// FailJobs are jobs that fail on every worker.
	FailJobs []croft.JobID
}

// Faults returns what the platform is told to do wrong.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetFaults replaces what the platform is told to do wrong.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.OldReads && p.frozen == nil {
		p.frozen = p.table.rows
	}
	if !f.OldReads {
		p.frozen = nil
	}
	if f.OldList && !p.faults.OldList {
		p.listFrozen = p.options.Clock.Now()
	}
	p.faults = f
}

// admit waits and refuses as the faults say.
func (p *Platform) admit() error {
	faults := p.Faults()
	if faults.Down {
		return &croft.UnavailableError{Reason: "told to be down"}
	}
	if faults.SlowMs <= 0 {
		return nil
	}
	// What the platform has taken in takes effect, whether its caller still waits or not.
	if err := p.options.Clock.Sleep(p.life, faults.SlowMs); err != nil {
		return &croft.UnavailableError{Reason: "stopped"}
	}
	return nil
}

// checkOps refuses transactions that no table could do.
func checkOps(ops []croft.Op) error {
	if len(ops) == 0 {
		return &plat.RejectedError{Status: http.StatusBadRequest, Reason: "Ops: empty"}
	}
	seen := map[string]bool{}
	for i, o := range ops {
		reason := ""
		switch {
		case o.Key == "":
			reason = "Key: empty"
		case seen[o.Key]:
			reason = "Key: twice in one transaction"
		case o.Kind != croft.OpCheck && o.Kind != croft.OpPut && o.Kind != croft.OpDelete:
			reason = fmt.Sprintf("Kind: %q is not Check, Put or Delete", o.Kind)
		}
		if reason != "" {
			reason = fmt.Sprintf("Ops[%d].%s", i, reason)
			return &plat.RejectedError{Status: http.StatusBadRequest, Reason: reason}
		}
		seen[o.Key] = true
	}
	return nil
}
