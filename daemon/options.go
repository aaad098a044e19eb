package daemon

import (
	"waxwing.example/croft"
	"waxwing.example/croft/admit"
	"waxwing.example/croft/front"
	"waxwing.example/croft/invoke"
	"waxwing.example/croft/ops"
	"waxwing.example/croft/retry"
	"waxwing.example/croft/route"
)

// frontOptions converts the settings to the options of the server for callers.
func (c *components) frontOptions() front.Options {
	balancerWait := c.settings.Timing.StopWaitMs
	if balancerWait == 0 {
		// In front.Limits zero selects the default and a negative value no wait.
		balancerWait = -1
	}
	return front.Options{
		Clock:    c.clock,
		Viewer:   c.loop,
		Executor: c.executor,
		Claimer:  c.claimer(),
		Poster:   c.loop,
		Log:      c.log,
		Policies: c.selectedPolicies(),
		Limits: front.Limits{
			BodyBytes: c.settings.Limits.BodyBytes, BodyTimeout: c.settings.Timing.BodyMs, BalancerDelay: balancerWait,
		},
		Gate: c.gates.callers,
	}
}

// selectedPolicies returns the baseline policies that the settings select; package front uses its default for a nil one.
func (c *components) selectedPolicies() front.Policies {
	var selected front.Policies
	if c.settings.Policies.Queue == "FirstCome" {
		selected.Queue = func() admit.Scheduler { return admit.NewFirstCome() }
	}
	if c.settings.Policies.Pick == "RoundRobin" {
		selected.Picker = route.NewRoundRobin()
	}
	if c.settings.Policies.Retry == "Always" {
		selected.Retry = func() retry.Policy { return retry.Always{} }
	}
	return selected
}

// newExecutor returns the client of executors, with the baselines that the settings select.
func (c *components) newExecutor() croft.Executor {
	o := invoke.Options{
		Dial:                c.network.Dial,
		MaxConnsPerEndpoint: c.settings.Limits.ConnectionsPerExecutor,
		MaxBodyBytes:        c.settings.Limits.AnswerBytes,
	}
	var executor croft.Executor = invoke.New(o)
	if c.settings.Policies.Answers == "Trusted" {
		executor = invoke.NewTrustingClient(o)
	}
	if c.listOnly() {
		return listOnlyExecutor{executor}
	}
	return executor
}

// listOnly reports whether the settings select the baseline that recognises leaving endpoints only by the platform's
// VM list.
func (c *components) listOnly() bool { return c.settings.Policies.Leaving == "ListOnly" }

// opsOptions converts the settings to the options of the server for operators.
func (c *components) opsOptions() ops.Options {
	return ops.Options{
		Token:       c.settings.OperatorToken,
		BodyBytes:   c.settings.Limits.OperatorBytes,
		BodyTimeout: c.settings.Timing.BodyMs,
		Gate:        c.gates.operators,
		Metrics:     c.metrics.root,
	}
}
