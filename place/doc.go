// Package place decides on which VM of its pool each job runs. A worker may run a task only under a lease, which expires
// unless the leader of the pool renews it.
package place
