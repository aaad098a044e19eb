// Package jobs holds the rows in which jobs and their progress last in the platform's store.
package jobs
