// Package state is the one reducer over all events of an entry; it hands each event to the
// parts that own a concern and keeps the view that traffic reads.
package state
