// Package place decides on which VM of its pool each job runs, under a lease that the worker loses when it is not renewed.
package place
