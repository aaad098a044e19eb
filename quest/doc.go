// Package quest reads the questionnaire about services, trades and tolerances and generates
// the configuration from its answers.
//
// Each service gets a pool of its own. A pool must serve the mean of all its kinds and the
// burst of any one of them; one wave of maintenance may be away besides. The VMs that fail and
// wait for repair are covered by the spare pool for all pools together: its size is the
// quantile of a Poisson distribution with the mean workers x failure rate x repair time, at
// the smallest tolerance of all services. What the fleet has beyond that goes to the spare.
package quest
