// Package agent runs one entry on the users' platform: it follows the platform's tables, takes part in the leader
// election and, while the entry leads, runs the planner of package sched and carries out its decisions. Package
// platform starts it.
package agent
