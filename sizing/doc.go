// Package sizing decides how many VMs a pool needs, and how many it may release, from the load of the pool over time.
package sizing
