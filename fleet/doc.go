// Package fleet combines the reducers of packages lease, pools, maint, buffer and place, which decide who plans for
// each pool, where VMs and jobs go and when VMs are maintained, into a single one for package state.
package fleet
