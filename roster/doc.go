// Package roster tracks which entries are alive and in which data centre they are, and computes the share of each
// pool's slots that this entry may use.
//
// Entries exchange messages by gossip. Each message carries the heartbeat counters of some entries, and an entry counts
// as alive while its counter grows, as in van Renesse, Minsky and Hayden, "A Gossip-Style Failure Detection Service"
// (Middleware 1998). A silent entry is only excluded from shares and notices; ownership is decided by the table alone.
package roster
