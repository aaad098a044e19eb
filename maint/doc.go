// Package maint decides when each VM is maintained: at least once in Period, one rack of a pool at a time, and only as
// many VMs at once as the pool's wave size and its minimum number of serving VMs allow.
package maint
