// Package inflow limits what clients may hold open at an entry: connections, bodies that are being received, and submissions
// that are being processed. Table decides which connection or body is dropped and is pure; Gate applies it to a listener.
package inflow
