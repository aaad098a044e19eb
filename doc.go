// Package croft defines the interfaces, immutable value types, events and effects that
// all packages of waxwingcroft share; the packages below it implement them.
//
// An entry, one process of the system, is assembled in one of two ways. Package daemon uses the platform API of package
// plat, elects a planner for each pool (package lease) and decides by the reducers that packages state and fleet combine.
// Package platform uses the API of the users' platform and elects one leader (package leader), which runs the scheduler
// of package sched.
package croft
