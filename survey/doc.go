// Package survey reads the answers to the questionnaire about services, their load and their tolerances, and generates
// the configuration from them.
//
// Each service gets a pool of its own. The pool must serve the mean load of all its kinds together with the burst of any
// one of them, while one wave of its VMs is in maintenance. VMs that failed and wait for repair are replaced from the
// spare pool, which all pools share. The number of VMs under repair is taken to follow a Poisson distribution with the
// mean VMs x failure rate x repair time. The size of the spare pool is the larger of two numbers: the quantile of that
// distribution at the smallest tolerance of all services, and the mean plus the VMs of one rack, which may fail as a
// whole. VMs that no pool needs are added to the spare pool.
package survey
