// Package peer carries JSON-RPC 2.0 messages between the entries of package daemon, over TCP connections on which both
// sides have proved that they hold the shared key. Package links supplies the connections.
package peer
