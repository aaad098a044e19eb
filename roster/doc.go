// Package roster reduces what an entry hears of the other entries: who is alive, in which
// data centre, and what share of each pool's slots is this entry's own.
//
// A silent entry is only left out of shares and news; who owns what is decided by the
// table alone. Each message carries heartbeat counts of some entries in turn, and an entry
// lives while its count grows, after van Renesse, Minsky and Hayden, "A Gossip-Style
// Failure Detection Service" (Middleware 1998).
package roster
