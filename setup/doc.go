// Package setup reads the settings files of the programs, JSON with comments, and reports all their faults at once.
package setup
