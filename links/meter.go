package links

import (
	"context"
	"expvar"
	"net"
)

// Meter counts the bytes sent and received on connections.
type Meter struct {
	sent     expvar.Int
	received expvar.Int
}

// NewMeter returns a meter with counters at zero.
func NewMeter() *Meter { return &Meter{} }

// Vars returns the counters as a map for expvar.
func (m *Meter) Vars() *expvar.Map {
	vars := new(expvar.Map)
	vars.Set("BytesSent", &m.sent)
	vars.Set("BytesReceived", &m.received)
	return vars
}

// Sent returns the number of bytes sent.
func (m *Meter) Sent() int64 { return m.sent.Value() }

// Received returns the number of bytes received.
func (m *Meter) Received() int64 { return m.received.Value() }

// Count wraps a connection so that its bytes are counted.
func (m *Meter) Count(conn net.Conn) net.Conn { return &countedConn{Conn: conn, meter: m} }

// Dial wraps a dial function so that the bytes of its connections are counted.
func (m *Meter) Dial(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return m.Count(conn), nil
	}
}

// countedConn is a connection whose bytes are counted by a meter.
type countedConn struct {
	net.Conn
	meter *Meter
}

// Read reads from the connection and counts the bytes received.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.received.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes sent.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.sent.Add(int64(n))
	return n, err
}
