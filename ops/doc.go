// Package ops is the operators' HTTP address of an entry, and the client that speaks to it.
package ops
