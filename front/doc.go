// Package front takes callers' requests over HTTP and carries each to one outcome.
package front
