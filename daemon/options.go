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

// frontOptions turns the settings into those of the traffic path.
func (p *parts) frontOptions() front.Options {
	balancer := p.settings.Timing.StopWaitMs
	if balancer == 0 {
		balancer = -1
	}
	return front.Options{
		Clock:    p.clock,
		Viewer:   p.loop,
		Executor: p.executor,
		Claimer:  p.claimer(),
		Poster:   p.loop,
		Log:      p.log,
		Policies: p.policies(),
		Limits:   front.Limits{BodyBytes: p.settings.Limits.BodyBytes, BalancerSpan: balancer},
	}
}

// policies selects the baselines that the settings name; what stays nil is the front's own choice.
func (p *parts) policies() front.Policies {
	var chosen front.Policies
	if p.settings.Policies.Queue == "FirstCome" {
		chosen.Queue = func() admit.Scheduler { return admit.NewFirstCome() }
	}
	if p.settings.Policies.Pick == "RoundRobin" {
		chosen.Picker = route.NewRoundRobin()
	}
	if p.settings.Policies.Retry == "Always" {
		chosen.Retry = func() retry.Policy { return retry.Always{} }
	}
	return chosen
}

// newExecutor returns the way to executors that the settings select.
func (p *parts) newExecutor() croft.Executor {
	o := invoke.Options{
		Dial:                p.network.Dial,
		MaxConnsPerEndpoint: p.settings.Limits.ConnectionsPerExecutor,
		MaxBody:             p.settings.Limits.AnswerBytes,
	}
	var executor croft.Executor = invoke.New(o)
	if p.settings.Policies.Answers == "Trusted" {
		executor = invoke.NewTrusted(o)
	}
	if p.listOnly() {
		return deaf{executor}
	}
	return executor
}

// listOnly reports whether the baseline is selected that believes only the platform's VM list.
func (p *parts) listOnly() bool { return p.settings.Policies.Leaving == "ListOnly" }

func (p *parts) opsOptions() ops.Options {
	return ops.Options{
		Token:     p.settings.OperatorToken,
		BodyBytes: p.settings.Limits.OperatorBytes,
		Metrics:   p.vars.all,
	}
}
