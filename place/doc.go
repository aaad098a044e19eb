// Package place decides on which VM of its pool each job runs, for entries of package daemon. A worker may run a task
// only under a lease, which expires unless the planner of the pool, the entry that holds the pool's lease, renews it.
package place
