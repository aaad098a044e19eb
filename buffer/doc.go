// Package buffer decides how many VMs each pool should have, and which VMs to move between pools to reach that with few
// moves. The buffer of a pool is the VMs beyond those that must serve; it stands in for VMs under maintenance or repair.
package buffer
