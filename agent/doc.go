// Package agent runs one entry: it follows the platform's tables, takes part in the leader election and, while the
// entry leads, runs the planner and carries out its decisions.
package agent
