// Package links opens and accepts TCP connections from one IP address. It counts their bytes and, for tests, simulates
// network partitions.
package links
