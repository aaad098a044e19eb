// Package peer carries JSON-RPC 2.0 messages between entries, over TCP connections on which both
// sides have proved that they hold the shared key.
package peer
