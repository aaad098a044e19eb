// Package clock implements croft.Clock by the system's clocks and, for tests, by a clock that is advanced by hand.
package clock
