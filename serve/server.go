package serve

import (
	"net"
	"net/http"

	"waxwing.example/croft"
	"waxwing.example/croft/inflow"
)

// HeaderLimits are the limits that net/http applies to connections.
type HeaderLimits struct {
	// Bytes is the maximum size of the headers of a request.
	Bytes int
	// Timeout is the time for the headers to arrive, Idle how long a connection may be open without a request.
	Timeout, Idle croft.Millis
}

// New returns a server of connections that a gate limits.
func New(handler http.Handler, limits HeaderLimits) *http.Server {
	return &http.Server{
		Handler: handler, MaxHeaderBytes: limits.Bytes, ReadHeaderTimeout: limits.Timeout.Duration(), IdleTimeout: limits.Idle.Duration(),
		ConnContext: inflow.ConnContext,
		ConnState: func(c net.Conn, state http.ConnState) {
			if conn, ok := c.(*inflow.Conn); ok && state == http.StateIdle {
				conn.Idle()
			}
		},
	}
}
