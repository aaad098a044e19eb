// Package links opens and accepts the TCP connections of an entry or a stand-in from one IP address; packages plat,
// peer and others send their messages over them. It counts their bytes and, for tests, simulates network partitions.
package links
