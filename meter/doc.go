// Package meter counts an entry's requests by class and outcome, measures their latency and publishes both through expvar.
package meter
