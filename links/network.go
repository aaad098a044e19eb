package links

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
)

// Network opens and accepts connections for one IP address. It simulates partitions from prefixes of remote addresses.
type Network struct {
	dialer net.Dialer
	// changeMu serialises changes of the partition; it is locked before mu and the mutexes of connections.
	changeMu sync.Mutex

	mu sync.Mutex
	// prefixes contain the addresses that the network is partitioned from.
	prefixes []netip.Prefix
	// conns holds the open connections with their remote addresses.
	conns map[*conn]netip.Addr
}

// New returns a network that dials from the given IP address, or from any for the zero Addr.
func New(local netip.Addr) *Network {
	n := &Network{conns: map[*conn]netip.Addr{}}
	if local.IsValid() {
		n.dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	}
	return n
}

// Partition adds prefixes to the partition: until Heal, connections to and from them hang and new ones fail.
func (n *Network) Partition(prefixes ...netip.Prefix) {
	n.change(func(current []netip.Prefix) []netip.Prefix { return append(current, prefixes...) })
}

// Heal ends the partition; connections that hang continue.
func (n *Network) Heal() {
	n.change(func([]netip.Prefix) []netip.Prefix { return nil })
}

// SetPartition partitions the network from exactly these prefixes.
func (n *Network) SetPartition(prefixes ...netip.Prefix) {
	n.change(func([]netip.Prefix) []netip.Prefix { return prefixes })
}

// change replaces the prefixes by the result of next and applies them to all connections.
func (n *Network) change(next func([]netip.Prefix) []netip.Prefix) {
	n.changeMu.Lock()
	defer n.changeMu.Unlock()
	n.mu.Lock()
	n.prefixes = next(slices.Clone(n.prefixes))
	partitionedConns := make(map[*conn]bool, len(n.conns))
	for c, remote := range n.conns {
		partitionedConns[c] = n.isPartitioned(remote)
	}
	n.mu.Unlock()
	// Close locks the connection and then the network, so locking a connection while the network is locked could
	// deadlock.
	for c, partitioned := range partitionedConns {
		c.setPartitioned(partitioned)
	}
}

// Partitioned returns the prefixes that the network is partitioned from.
func (n *Network) Partitioned() []netip.Prefix {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]netip.Prefix(nil), n.prefixes...)
}

// isPartitioned reports whether an address is in one of the prefixes; the caller holds mu.
func (n *Network) isPartitioned(remote netip.Addr) bool {
	for _, p := range n.prefixes {
		if p.Contains(remote) {
			return true
		}
	}
	return false
}

// Dial opens a connection. If the address is partitioned, it waits until the context ends, as if packets were dropped.
func (n *Network) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	remote, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("links: %q is not an IP number and port: %w", address, err)
	}
	n.mu.Lock()
	partitioned := n.isPartitioned(remote.Addr())
	n.mu.Unlock()
	if partitioned {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	dialled, err := n.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("links: %w", err)
	}
	c, ok := n.track(dialled, remote.Addr())
	if !ok {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return c, nil
}

// track adds a connection to the network. If its remote address is partitioned it reports false, and the connection is
// closed when the partition is healed.
func (n *Network) track(c net.Conn, remote netip.Addr) (*conn, bool) {
	tracked := newConn(c, n)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[tracked] = remote
	if n.isPartitioned(remote) {
		tracked.partitioned = true
		tracked.closed = true
		return nil, false
	}
	return tracked, true
}

// untrack removes a closed connection.
func (n *Network) untrack(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// Listen returns a listener; connections from partitioned prefixes hang, and are closed when the partition is healed.
func (n *Network) Listen(network, address string) (net.Listener, error) {
	l, err := net.Listen(network, address)
	if err != nil {
		return nil, fmt.Errorf("links: %w", err)
	}
	return n.Track(l), nil
}

// Track returns a listener of another one's connections; those from partitioned prefixes hang, and are closed when the partition is
// healed.
func (n *Network) Track(l net.Listener) net.Listener { return &listener{Listener: l, network: n} }

// listener accepts connections and tracks them in its network.
type listener struct {
	net.Listener
	network *Network
}

// Accept returns the next connection from a remote address that is not partitioned.
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
		if c, ok := l.network.track(accepted, remote.Addr().Unmap()); ok {
			return c, nil
		}
	}
}
