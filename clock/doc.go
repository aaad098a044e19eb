// Package clock holds the clocks of waxwingcroft: the system's own, and one that tests move by hand.
package clock
