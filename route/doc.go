// Package route picks the executor of an attempt.
package route
