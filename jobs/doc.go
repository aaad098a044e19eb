// Package jobs defines the keys and values of the rows that store jobs and their progress on the users' platform, for
// the packages that store, schedule or simulate jobs there.
package jobs
