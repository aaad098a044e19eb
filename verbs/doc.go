// Package verbs holds the verbs of the operators' command line, one file each, and the table that lists them.
package verbs
