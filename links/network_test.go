package links_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"waxwing.example/croft/links"
)

// echoing answers each connection with the IP number that it comes from, and keeps it open.
func echoing(t *testing.T, n *links.Network, address string) string {
	t.Helper()
	l, err := n.Listen("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
			_, _ = c.Write([]byte(host + "\n"))
		}
	}()
	return l.Addr().String()
}

func seenFrom(t *testing.T, c net.Conn, length int) string {
	t.Helper()
	seen := make([]byte, length)
	_, err := io.ReadFull(c, seen)
	assert.NilError(t, err)
	return string(seen)
}

func TestCutEndsConnectionsAndHoldsDialsUntilHeal(t *testing.T) {
	ctx := context.Background()
	near := links.New(netip.MustParseAddr("127.1.0.5"))
	far := links.New(netip.MustParseAddr("127.2.0.5"))
	address := echoing(t, far, "127.2.0.5:0")
	prefix := netip.MustParsePrefix("127.2.0.0/16")
	c, err := near.Dial(ctx, "tcp", address)
	assert.NilError(t, err)
	assert.Equal(t, seenFrom(t, c, 10), "127.1.0.5\n")

	near.Cut(prefix)
	_, err = c.Read(make([]byte, 1))
	assert.ErrorIs(t, err, net.ErrClosed)
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, err = near.Dial(short, "tcp", address)
	assert.ErrorIs(t, err, context.DeadlineExceeded)

	near.Heal()
	c, err = near.Dial(ctx, "tcp", address)
	assert.NilError(t, err)
	assert.Equal(t, seenFrom(t, c, 10), "127.1.0.5\n")
	assert.NilError(t, c.Close())
}

func TestCutDropsWhatComesFromThePrefix(t *testing.T) {
	ctx := context.Background()
	near := links.New(netip.MustParseAddr("127.1.0.5"))
	far := links.New(netip.MustParseAddr("127.2.0.5"))
	address := echoing(t, far, "127.2.0.5:0")
	before, err := near.Dial(ctx, "tcp", address)
	assert.NilError(t, err)
	assert.Equal(t, seenFrom(t, before, 10), "127.1.0.5\n")
	far.Cut(netip.MustParsePrefix("127.1.0.0/16"))
	_, err = before.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	after, err := near.Dial(ctx, "tcp", address)
	assert.NilError(t, err)
	_, err = after.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
}
