// Package stats counts an entry's decisions, calls and requests, and serves them as metrics in the Prometheus text format.
package stats
