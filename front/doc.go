// Package front serves callers' requests over HTTP: it dispatches each to an executor and answers it with exactly one
// outcome.
package front
