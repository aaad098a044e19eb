// Package meter counts the requests that an entry of package daemon serves by class and outcome, measures their latency
// and publishes both through expvar.
package meter
