// Package admit decides which requests of a pool start, wait or are refused as not run.
package admit
