// Package jobs defines the keys and values of the rows that store jobs and their progress in the platform's store.
package jobs
