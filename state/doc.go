// Package state combines the reducers of the roster, the configuration and the fleet into the single reducer of an
// entry of package daemon, and builds the immutable view that request handling reads.
package state
