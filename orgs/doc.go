// Package orgs finds the organisation to which a caller's API key belongs.
package orgs
