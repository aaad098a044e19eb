// Package fleet combines the reducers that decide about leases, pools, maintenance, buffers and the placement of jobs
// into a single one.
package fleet
