package links

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
)

// Network opens connections from one IP number, except to and from what it is cut off from.
type Network struct {
	dialer net.Dialer
	// changes has cuts and heals take effect one after the other.
	changes sync.Mutex

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

// Cut has the connections to and from these prefixes hang, and lets no new ones through until Heal.
func (n *Network) Cut(prefixes ...netip.Prefix) {
	n.change(func(cuts []netip.Prefix) []netip.Prefix { return append(cuts, prefixes...) })
}

// Heal ends all cuts; what hung goes on.
func (n *Network) Heal() {
	n.change(func([]netip.Prefix) []netip.Prefix { return nil })
}

// Replace has the network cut off from these prefixes and from no others.
func (n *Network) Replace(prefixes ...netip.Prefix) {
	n.change(func([]netip.Prefix) []netip.Prefix { return prefixes })
}

func (n *Network) change(next func([]netip.Prefix) []netip.Prefix) {
	n.changes.Lock()
	defer n.changes.Unlock()
	n.mu.Lock()
	n.cuts = next(slices.Clone(n.cuts))
	cut := make(map[*conn]bool, len(n.conns))
	for c, remote := range n.conns {
		cut[c] = n.isCut(remote)
	}
	n.mu.Unlock()
	// A connection locks the network when it ends, so that it must not be the other way round here.
	for c, now := range cut {
		c.setCut(now)
	}
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

// enter follows a connection; it reports false for one that is cut, which ends once it is healed.
func (n *Network) enter(c net.Conn, remote netip.Addr) (*conn, bool) {
	followed := newConn(c, n)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[followed] = remote
	if n.isCut(remote) {
		followed.cut = true
		followed.closed = true
		return nil, false
	}
	return followed, true
}

func (n *Network) leave(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// Listen accepts connections; those from cut prefixes hang and end once healed.
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
