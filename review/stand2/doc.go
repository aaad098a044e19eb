//go:build review2

// Command stand2 contains the stand-ins and the drivers of the review cases 6 to 10: a metadata store and VM API of the
// users' platform, an executor, and one driver for each case, which starts the entry and the stand-ins as processes.
package main
