// Package buffer decides how many VMs each pool should have, and which VMs to move between pools to reach that with few moves.
package buffer
