// Package fleet composes the decisions about leases, pools, maintenance, buffers and jobs into one reducer.
package fleet
