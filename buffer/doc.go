// Package buffer decides how many VMs each pool holds and which VMs move to reach that with few moves.
package buffer
