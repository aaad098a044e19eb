package fakes

import (
	"fmt"
	"net/http"

	"waxwing.example/croft"
	"waxwing.example/croft/plat"
)

// Faults are the faults that a platform injects.
type Faults struct {
	// Down rejects every request without effect.
	Down bool
	// SlowMs delays each request before it takes effect, which it does even if its caller disconnects meanwhile.
	SlowMs croft.Millis
	// LoseAnswers is how many of the next transactions are carried out or rejected, but get no answer.
	LoseAnswers int
	// OldReads makes the table's reads return its state at the time when the fault was set.
	OldReads bool
	// OldList makes the VM list return its state at the time when the fault was set.
	OldList bool
	// FailWorkers are the workers on which every task fails.
	FailWorkers []croft.VMID
	// FailJobs are the jobs whose tasks fail on every worker.
	FailJobs []croft.JobID
}

// Faults returns the faults that the platform injects.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetFaults replaces the faults that the platform injects.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.OldReads && p.frozenRows == nil {
		p.frozenRows = p.table.rows
	}
	if !f.OldReads {
		p.frozenRows = nil
	}
	if f.OldList && !p.faults.OldList {
		p.listFrozenAt = p.options.Clock.Now()
	}
	p.faults = f
}

// injectFaults delays or rejects a request as the faults Down and SlowMs require.
func (p *Platform) injectFaults() error {
	faults := p.Faults()
	if faults.Down {
		return &croft.UnavailableError{Reason: "told to be down"}
	}
	if faults.SlowMs <= 0 {
		return nil
	}
	// The wait ignores the request's context: a request that was received takes effect even if its caller has
	// disconnected.
	if err := p.options.Clock.Sleep(p.ctx, faults.SlowMs); err != nil {
		return &croft.UnavailableError{Reason: "stopped"}
	}
	return nil
}

// validateOps rejects empty transactions and those with unknown operations, empty keys or repeated keys.
func validateOps(ops []croft.Op) error {
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
