// Package croft holds the interfaces, immutable values, events and effects that
// every part of waxwingcroft shares; implementations live in the packages below.
package croft
