// Package roster reduces what an entry hears of the other entries: who is alive, in which
// data centre, and what share of each pool's slots is this entry's own.
//
// A silent entry is only left out of shares and news; who owns what is decided by the
// table alone. Probing one member at a time and carrying news on the probes follows
// Das, Gupta and Motivala, "SWIM" (DSN 2002), without its indirect probes.
package roster
