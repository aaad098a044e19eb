// Package stats counts what an entry does and serves the figures as text in the Prometheus format.
package stats
