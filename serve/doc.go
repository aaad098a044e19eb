// Package serve builds the HTTP servers of an entry. Each serves the connections of a listener that a gate of package inflow limits.
package serve
