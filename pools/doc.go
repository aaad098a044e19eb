// Package pools keeps which pool each VM belongs to, carries moves and drains through, and knows which endpoints may be given work.
//
// A VM belongs to the pool named by its one member row, whatever phase it is in. Every write of a member row compares
// its version, and the steps of a pool's planner also compare the version of the pool's plan row.
package pools
