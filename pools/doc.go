// Package pools records which pool each VM belongs to, carries out moves, drains and maintenance, and decides which
// endpoints may receive work. Package fleet combines it with the reducers that decide when to move and maintain VMs.
//
// Each VM has one member row, which names its pool in every phase. Each write of a member row checks the row's version.
// Writes by a pool's planner, the entry that holds the pool's lease, also check the version of the pool's plan row, which
// serves as fencing token.
package pools
