// Package verbs implements the verbs of wax, the operators' command line, one file each, and the table that lists them.
package verbs
