// Package clock implements croft.Clock by the system's clocks, and by one that tests advance.
package clock
