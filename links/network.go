package links

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
)

// Network opens connections from one IP number, except to and from what it is cut off from.
type Network struct {
	dialer net.Dialer

	mu    sync.Mutex
	cuts  []netip.Prefix
	conns map[*conn]netip.Addr
}

// New returns a network whose connections come from an IP number, from any for the zero Addr.
func New(local netip.Addr) *Network {
	n := &Network{conns: map[*conn]netip.Addr{}}
	if local.IsValid() {
		n.dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	}
	return n
}

// Cut closes the connections to and from these prefixes and lets no new ones through until Heal.
func (n *Network) Cut(prefixes ...netip.Prefix) {
	n.mu.Lock()
	n.cuts = append(n.cuts, prefixes...)
	var cut []net.Conn
	for c, remote := range n.conns {
		if n.isCut(remote) {
			cut = append(cut, c)
		}
	}
	n.mu.Unlock()
	for _, c := range cut {
		c.Close()
	}
}

// Heal ends all cuts.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts = nil
}

// Cuts returns the prefixes that the network is cut off from.
func (n *Network) Cuts() []netip.Prefix {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]netip.Prefix(nil), n.cuts...)
}

func (n *Network) isCut(remote netip.Addr) bool {
	for _, p := range n.cuts {
		if p.Contains(remote) {
			return true
		}
	}
	return false
}

// Dial opens a connection; towards a cut prefix it waits for the end of its context, as where packets are dropped.
func (n *Network) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	remote, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("links: %q is not an IP number and port: %w", address, err)
	}
	n.mu.Lock()
	cut := n.isCut(remote.Addr())
	n.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	dialed, err := n.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("links: %w", err)
	}
	c, ok := n.enter(dialed, remote.Addr())
	if !ok {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return c, nil
}

// enter follows a connection, or closes it and reports false where it is cut.
func (n *Network) enter(c net.Conn, remote netip.Addr) (*conn, bool) {
	followed := &conn{Conn: c, network: n}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isCut(remote) {
		c.Close()
		return nil, false
	}
	n.conns[followed] = remote
	return followed, true
}

func (n *Network) leave(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// conn is a connection that its network can close.
type conn struct {
	net.Conn
	network *Network
}

// Close closes the connection and forgets it.
func (c *conn) Close() error {
	c.network.leave(c)
	return c.Conn.Close()
}

// Listen accepts connections, and drops those from cut prefixes.
func (n *Network) Listen(network, address string) (net.Listener, error) {
	l, err := net.Listen(network, address)
	if err != nil {
		return nil, fmt.Errorf("links: %w", err)
	}
	return &listener{Listener: l, network: n}, nil
}

type listener struct {
	net.Listener
	network *Network
}

// Accept returns the next connection from a prefix that is not cut.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		remote, err := netip.ParseAddrPort(accepted.RemoteAddr().String())
		if err != nil {
			accepted.Close()
			continue
		}
		if c, ok := l.network.enter(accepted, remote.Addr().Unmap()); ok {
			return c, nil
		}
	}
}
