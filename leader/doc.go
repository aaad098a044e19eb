// Package leader implements leader election among the entries by means of one row of the platform's
// table, which the leader renews and others take over once it has expired.
package leader
