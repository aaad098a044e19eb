// Package keyed wraps a persistent sorted map, so that a state of thousands of rows is shared between versions and never copied whole.
package keyed
