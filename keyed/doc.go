// Package keyed provides a persistent sorted map. Versions of a map share their structure, so that an immutable state
// of thousands of rows is not copied at each change.
package keyed
