// Package daemon assembles an entry that serves callers' requests and manages the pools of VMs: a control loop that
// applies events to the control state and publishes views of it, workers that carry out the effects that the reducer
// requests, and the listeners for callers, operators and other entries. All of them belong to one run group and stop
// together. An entry on the users' platform is assembled by package platform instead.
package daemon
