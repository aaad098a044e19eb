// Package commit wraps the platform's table for an entry: a commit whose answer was lost is repeated until its outcome
// is known, as far as the table's rows still show it.
package commit
