// Package agent runs one entry: it follows the platform's tables, leads when its turn comes, and carries out what the
// planner decides.
package agent
