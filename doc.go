// Package croft defines the interfaces, immutable value types, events and effects that
// all packages of waxwingcroft share; the packages below it implement them.
package croft
