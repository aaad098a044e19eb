// Package intake takes callers' jobs into the platform's store, and tells and cancels them, on every entry alike.
package intake
