// Package crowd tests a started entry against many clients that hold their connections open. It has tests only; each starts
// the real program on loopback addresses, with a stand-in of the store. The tests check no times and no share of served
// requests, and none runs in parallel with another.
package crowd
