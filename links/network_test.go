package links_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"waxwing.example/croft/links"
)

// serveRemoteAddrs starts a server that writes to each connection the IP address that it comes from, and keeps it open.
func serveRemoteAddrs(t *testing.T, n *links.Network, address string) string {
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

// readText reads a text of the given length.
func readText(t *testing.T, c net.Conn, length int) string {
	t.Helper()
	seen := make([]byte, length)
	_, err := io.ReadFull(c, seen)
	assert.NilError(t, err)
	return string(seen)
}

// shortTimeout bounds calls that must hang until they time out.
const shortTimeout = 50 * time.Millisecond

// readBriefly tries to read one byte within a short time, and returns the error.
func readBriefly(c net.Conn) error {
	_ = c.SetReadDeadline(time.Now().Add(shortTimeout))
	_, err := c.Read(make([]byte, 1))
	return errors.Join(err, c.SetReadDeadline(time.Time{}))
}

// TestPartitionHangsUntilHeal checks that during a partition no bytes arrive at either end, the other end does not
// observe a close, and dialling hangs, and that after it the bytes arrive and the close is observed.
func TestPartitionHangsUntilHeal(t *testing.T) {
	ctx := context.Background()
	local := links.New(netip.MustParseAddr("127.1.0.5"))
	prefix := netip.MustParsePrefix("127.2.0.0/16")
	l, err := links.New(netip.MustParseAddr("127.2.0.5")).Listen("tcp", "127.2.0.5:0")
	assert.NilError(t, err)
	defer l.Close()
	c, err := local.Dial(ctx, "tcp", l.Addr().String())
	assert.NilError(t, err)
	accepted, err := l.Accept()
	assert.NilError(t, err)
	defer accepted.Close()
	closing, err := local.Dial(ctx, "tcp", l.Addr().String())
	assert.NilError(t, err)
	peerOfClosing, err := l.Accept()
	assert.NilError(t, err)
	defer peerOfClosing.Close()

	// A read that began before the partition also gets nothing, and sent bytes are held back.
	earlyRead := make(chan string, 1)
	go func() {
		text := make([]byte, 4)
		n, _ := io.ReadFull(c, text)
		earlyRead <- string(text[:n])
	}()
	local.Partition(prefix)
	_, err = accepted.Write([]byte("late"))
	assert.NilError(t, err)
	_, err = c.Write([]byte("held"))
	assert.NilError(t, err)
	assert.ErrorIs(t, readBriefly(accepted), os.ErrDeadlineExceeded)
	assert.NilError(t, closing.Close())
	_, err = closing.Read(make([]byte, 1))
	assert.ErrorIs(t, err, net.ErrClosed)
	assert.ErrorIs(t, readBriefly(peerOfClosing), os.ErrDeadlineExceeded)
	shortCtx, cancel := context.WithTimeout(ctx, shortTimeout)
	defer cancel()
	_, err = local.Dial(shortCtx, "tcp", l.Addr().String())
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.Equal(t, len(earlyRead), 0)

	local.Heal()
	assert.Equal(t, <-earlyRead, "late")
	assert.Equal(t, readText(t, accepted, 4), "held")
	_, err = peerOfClosing.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	assert.NilError(t, c.Close())
}

// TestPartitionHoldsIncomingConnections checks a partition at the listening side: accepted connections hang, and new
// ones are accepted by the kernel only and closed when the partition is healed.
func TestPartitionHoldsIncomingConnections(t *testing.T) {
	ctx := context.Background()
	local := links.New(netip.MustParseAddr("127.1.0.5"))
	remote := links.New(netip.MustParseAddr("127.2.0.5"))
	address := serveRemoteAddrs(t, remote, "127.2.0.5:0")
	before, err := local.Dial(ctx, "tcp", address)
	assert.NilError(t, err)
	assert.Equal(t, readText(t, before, 10), "127.1.0.5\n")
	remote.Partition(netip.MustParsePrefix("127.1.0.0/16"))
	assert.ErrorIs(t, readBriefly(before), os.ErrDeadlineExceeded)
	after, err := local.Dial(ctx, "tcp", address)
	assert.NilError(t, err)
	assert.ErrorIs(t, readBriefly(after), os.ErrDeadlineExceeded)
	remote.Heal()
	_, err = after.Read(make([]byte, 1))
	assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded))
	again, err := local.Dial(ctx, "tcp", address)
	assert.NilError(t, err)
	assert.Equal(t, readText(t, again, 10), "127.1.0.5\n")
}
