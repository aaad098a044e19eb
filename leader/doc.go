// Package leader elects one leader among all entries on the users' platform, by means of one row of the platform's
// table, which the leader renews and others take over once it has expired. Entries of package daemon have no leader;
// package lease elects a planner for each pool instead.
package leader
