// Package lease elects the planner of each pool, the entry that decides about the pool's VMs and jobs, among the
// entries of package daemon. Each entry renews one session row, and each pool has one plan row, which names the planner
// and whose version serves as fencing token.
//
// A planner acts while its last successful renewal was sent less than TTL minus Margin ago, and each of its writes checks
// the version of the plan row. A candidate that saw the planner's session row unchanged for TTL takes over: one transaction
// checks that the session row still has the same version and writes the plan row. All later writes of the old planner then
// fail, even if it was paused and has not noticed the takeover.
package lease
