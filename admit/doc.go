// Package admit does admission control for a pool: it decides which requests start, which wait for a slot, and
// which are refused before they run.
package admit
