// Package setup reads the settings of every program, JSON with comments, and checks them whole.
package setup
