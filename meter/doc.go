// Package meter counts the traffic of an entry and publishes it under expvar.
package meter
