// Package crowd tests started entries against many clients. Some hold their connections open; others submit and cancel jobs while entries
// are replaced and the store is unreliable. It has tests only; each starts the real program on loopback addresses, with a stand-in of the
// store. The tests check no times and no share of served requests, and none runs in parallel with another.
package crowd
