// Package ops implements the HTTP API that an entry serves to operators, and its client.
package ops
