// Package daemon assembles an entry: a control loop that applies events to the control state and publishes views of it,
// workers that carry out the effects that the reducer requests, and the listeners for callers, operators and other
// entries. All of them belong to one run group and stop together.
package daemon
