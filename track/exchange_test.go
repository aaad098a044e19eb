package track

import (
	"io"
	"net"
	"net/http/httptrace"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// countingConn is a connection that counts the bytes written and discards them.
type countingConn struct {
	net.Conn
	mu           sync.Mutex
	bytesWritten int
}

func (c *countingConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytesWritten += len(data)
	return len(data), nil
}

func (c *countingConn) Close() error { return nil }

// The transport writes on a goroutine of its own, which may begin after the exchange was cancelled. Seal must report
// a write if and only if it took place.
func TestSealReportsWhetherBytesWereWritten(t *testing.T) {
	sealedFirst, writtenFirst := 0, 0
	for n := 0; n < 20_000 && (n < 2000 || sealedFirst == 0 || writtenFirst == 0); n++ {
		_, exchange := NewExchange(t.Context())
		counter := &countingConn{}
		c := &trackedConn{Conn: counter}
		exchange.gotConn(httptrace.GotConnInfo{Conn: c})
		var wg sync.WaitGroup
		wg.Go(func() { _, _ = c.Write([]byte("request")) })
		written := exchange.Seal()
		wg.Wait()
		assert.Equal(t, written, counter.bytesWritten > 0)
		if written {
			writtenFirst++
		} else {
			sealedFirst++
		}
	}
	assert.Assert(t, sealedFirst > 0 && writtenFirst > 0, "sealed first %d, written first %d", sealedFirst, writtenFirst)
}

func TestSentExchangeGetsNoSecondConnection(t *testing.T) {
	_, exchange := NewExchange(t.Context())
	first, second := &trackedConn{Conn: &countingConn{}}, &trackedConn{Conn: &countingConn{}}
	exchange.gotConn(httptrace.GotConnInfo{Conn: first})
	_, err := io.WriteString(first, "request")
	assert.NilError(t, err)
	exchange.gotConn(httptrace.GotConnInfo{Conn: second})
	_, err = io.WriteString(second, "request")
	assert.ErrorIs(t, err, errSealed)
	assert.Assert(t, exchange.Seal())
}

func TestSealedConnectionIsNotReused(t *testing.T) {
	c := &trackedConn{Conn: &countingConn{}}
	_, first := NewExchange(t.Context())
	first.gotConn(httptrace.GotConnInfo{Conn: c})
	assert.Assert(t, !first.Seal())
	_, second := NewExchange(t.Context())
	second.gotConn(httptrace.GotConnInfo{Conn: c})
	_, err := io.WriteString(c, "request")
	assert.ErrorIs(t, err, errSealed)
	assert.Assert(t, !second.Seal())
}

func TestUntrackedConnectionCountsAsWritten(t *testing.T) {
	_, exchange := NewExchange(t.Context())
	exchange.gotConn(httptrace.GotConnInfo{Conn: &countingConn{}})
	assert.Assert(t, exchange.Seal())
}

// preventedConn is a connection whose writes a check prevents after the first ones.
type preventedConn struct {
	net.Conn
	allowed int
}

func (c *preventedConn) Write(data []byte) (int, error) {
	if c.allowed--; c.allowed < 0 {
		return 0, &PreventedError{Err: io.ErrClosedPipe}
	}
	return len(data), nil
}

func (c *preventedConn) Close() error { return nil }

// Guards against a request that counts as written although its first write was prevented, and against one that counts as not written
// although only a later one was.
func TestPreventedFirstWriteDoesNotCount(t *testing.T) {
	for _, allowed := range []int{0, 1} {
		_, exchange := NewExchange(t.Context())
		c := &trackedConn{Conn: &preventedConn{allowed: allowed}}
		exchange.gotConn(httptrace.GotConnInfo{Conn: c})
		for range allowed {
			_, err := io.WriteString(c, "request")
			assert.NilError(t, err)
		}
		_, err := io.WriteString(c, "request")
		assert.ErrorIs(t, err, io.ErrClosedPipe)
		assert.Equal(t, exchange.Seal(), allowed > 0)
	}
}
