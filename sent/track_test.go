package sent

import (
	"io"
	"net"
	"net/http/httptrace"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// discard is a connection that counts the bytes that left.
type discard struct {
	net.Conn
	mu   sync.Mutex
	left int
}

func (d *discard) Write(data []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.left += len(data)
	return len(data), nil
}

func (d *discard) Close() error { return nil }

// The transport writes on a goroutine of its own, which may begin after the exchange was given up.
func TestSealNeverDeniesAByteThatLeaves(t *testing.T) {
	sealedFirst, writtenFirst := 0, 0
	for n := 0; n < 20_000 && (n < 2000 || sealedFirst == 0 || writtenFirst == 0); n++ {
		_, track := NewTrack(t.Context())
		out := &discard{}
		c := &conn{Conn: out}
		track.gotConn(httptrace.GotConnInfo{Conn: c})
		var work sync.WaitGroup
		work.Go(func() { _, _ = c.Write([]byte("request")) })
		written := track.Seal()
		work.Wait()
		assert.Equal(t, written, out.left > 0)
		if written {
			writtenFirst++
		} else {
			sealedFirst++
		}
	}
	assert.Assert(t, sealedFirst > 0 && writtenFirst > 0, "sealed first %d, written first %d", sealedFirst, writtenFirst)
}

func TestSecondConnectionOfASentExchangeIsSealed(t *testing.T) {
	_, track := NewTrack(t.Context())
	first, second := &conn{Conn: &discard{}}, &conn{Conn: &discard{}}
	track.gotConn(httptrace.GotConnInfo{Conn: first})
	_, err := io.WriteString(first, "request")
	assert.NilError(t, err)
	track.gotConn(httptrace.GotConnInfo{Conn: second})
	_, err = io.WriteString(second, "request")
	assert.ErrorIs(t, err, errSealed)
	assert.Assert(t, track.Seal())
}

func TestSealedConnectionCarriesNoOtherExchange(t *testing.T) {
	c := &conn{Conn: &discard{}}
	_, first := NewTrack(t.Context())
	first.gotConn(httptrace.GotConnInfo{Conn: c})
	assert.Assert(t, !first.Seal())
	_, second := NewTrack(t.Context())
	second.gotConn(httptrace.GotConnInfo{Conn: c})
	_, err := io.WriteString(c, "request")
	assert.ErrorIs(t, err, errSealed)
	assert.Assert(t, !second.Seal())
}

func TestConnectionsOfOthersCountAsWritten(t *testing.T) {
	_, track := NewTrack(t.Context())
	track.gotConn(httptrace.GotConnInfo{Conn: &discard{}})
	assert.Assert(t, track.Seal())
}
