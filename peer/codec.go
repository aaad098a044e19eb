package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"waxwing.example/croft"
	"waxwing.example/croft/inflow"
)

// Limits of messages.
const (
	// maxRequestBytes is the maximum size of a request; the largest is a report of all other entries.
	maxRequestBytes = 1 << 20
	// maxResponseBytes is the maximum size of a response; the largest holds the VMs and member rows of a fleet.
	maxResponseBytes = 32 << 20
	// messageTimeout is the time for a request to arrive once its length is known, and for memory to become free for it.
	messageTimeout = 5 * croft.Second
	// requestFactor is the memory that a byte of a request needs until it has been handled, in bytes.
	requestFactor = 8
	// minRequestBytes is the minimum memory of a request with its response.
	minRequestBytes = 16 << 10
)

// limitedCodec is jsonrpc2.VarintObjectCodec with limits on the size of a message and the time for it to arrive. With a gate, it reads
// a message only once there is memory for it.
type limitedCodec struct {
	jsonrpc2.VarintObjectCodec
	conn     net.Conn
	gate     *inflow.Gate
	maxBytes uint64
	// timeout is the time for a message to arrive once its length is known, zero for no limit.
	timeout croft.Millis
	// release releases the memory of the last message, nil if a handler has taken it over.
	release func()
}

var _ jsonrpc2.ObjectCodec = (*limitedCodec)(nil)

// ReadObject reads the next message.
func (c *limitedCodec) ReadObject(stream *bufio.Reader, v any) error {
	// The last message was no request if no handler has taken its memory over.
	c.takeRelease()()
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if size > c.maxBytes {
		return fmt.Errorf("peer: message of %d bytes, at most %d", size, c.maxBytes)
	}
	ctx, cancel := context.WithTimeout(context.Background(), messageTimeout.Duration())
	defer cancel()
	release, err := c.gate.Process(ctx, nil, max(minRequestBytes, requestFactor*int64(size)))
	if err != nil {
		return err
	}
	if err := c.readMessage(stream, size, v); err != nil {
		release()
		return err
	}
	c.release = release
	return nil
}

// readMessage reads a message of some size within the timeout.
func (c *limitedCodec) readMessage(stream *bufio.Reader, size uint64, v any) error {
	if c.timeout > 0 {
		if err := c.conn.SetReadDeadline(time.Now().Add(c.timeout.Duration())); err != nil {
			return err
		}
	}
	message := make([]byte, size)
	if _, err := io.ReadFull(stream, message); err != nil {
		return err
	}
	if c.timeout > 0 {
		if err := c.conn.SetReadDeadline(time.Time{}); err != nil {
			return err
		}
	}
	return json.Unmarshal(message, v)
}

// takeRelease returns the function that releases the memory of the last message, and leaves none.
func (c *limitedCodec) takeRelease() func() {
	release := c.release
	c.release = nil
	if release == nil {
		return func() {}
	}
	return release
}

// releasingHandler handles requests concurrently, and releases the memory of each once it has been handled.
type releasingHandler struct {
	jsonrpc2.Handler
	codec *limitedCodec
}

// Handle handles a request; jsonrpc2 calls it before the next message is read.
func (h releasingHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	release := h.codec.takeRelease()
	go func() {
		defer release()
		h.Handler.Handle(ctx, conn, request)
	}()
}
