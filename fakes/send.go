package fakes

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v5"

	"waxwing.example/croft"
	"waxwing.example/croft/invoke"
)

// pendingSwap is an answer that waits for another one to be swapped with.
type pendingSwap struct {
	own reply
	// swapped receives the other answer; it is buffered, so that sending to it never blocks.
	swapped chan reply
}

// sendReply sends an answer with the given fault.
func (e *Executor) sendReply(c *echo.Context, f fault, r reply) error {
	switch f {
	case faultCross:
		return e.sendIntact(c, e.swapReply(r))
	case faultLate:
		return e.sendTwice(c, r)
	case faultShort, faultShortUntold:
		return e.sendTruncated(c, r, f == faultShort)
	case faultReset:
		panic(http.ErrAbortHandler)
	case faultNone:
	}
	return e.sendIntact(c, r)
}

func (r reply) header() http.Header {
	h := http.Header{}
	h.Set("Content-Type", "application/json")
	h.Set(invoke.HeaderAttempt, r.Attempt)
	if r.Digest != "" {
		h.Set(invoke.HeaderDigest, r.Digest)
	}
	if r.Leaving {
		h.Set(invoke.HeaderLeaving, invoke.LeavingTrue)
	}
	return h
}

// sendIntact sends an answer without a fault.
func (e *Executor) sendIntact(c *echo.Context, r reply) error {
	header := c.Response().Header()
	for name, values := range r.header() {
		header[name] = values
	}
	header.Set("Content-Length", strconv.Itoa(len(r.Body)))
	return c.Blob(r.Status, "application/json", r.Body)
}

// swapReply exchanges an answer with that of a concurrent run and returns the other one, or its own if no run offers an
// answer within CrossWaitMs.
func (e *Executor) swapReply(own reply) reply {
	e.mu.Lock()
	if waiting := e.pendingSwap; waiting != nil {
		e.pendingSwap = nil
		e.mu.Unlock()
		waiting.swapped <- own
		return waiting.own
	}
	pending := &pendingSwap{own: own, swapped: make(chan reply, 1)}
	e.pendingSwap = pending
	ctx := e.bootCtx
	e.mu.Unlock()
	// A restart only ends the wait early.
	go func() {
		_ = e.options.Clock.Sleep(ctx, e.options.CrossWaitMs)
		e.cancelSwap(pending)
	}()
	return <-pending.swapped
}

// cancelSwap returns a waiting answer to its own run if no other run has taken it.
func (e *Executor) cancelSwap(pending *pendingSwap) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pendingSwap == pending {
		e.pendingSwap = nil
		pending.swapped <- pending.own
	}
}

// encode returns the answer as an HTTP/1.1 response, with or without Content-Length.
func (r reply) encode(withLength bool) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", r.Status, http.StatusText(r.Status))
	h := r.header()
	if withLength {
		h.Set("Content-Length", strconv.Itoa(len(r.Body)))
	} else {
		h.Set("Connection", "close")
	}
	_ = h.Write(&b) // writes to a bytes.Buffer cannot fail
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// hijack takes over the connection from the HTTP server.
func hijack(c *echo.Context) (net.Conn, error) {
	conn, _, err := http.NewResponseController(c.Response()).Hijack()
	if err != nil {
		return nil, fmt.Errorf("fakes: hijacking the caller's connection: %w", err)
	}
	return conn, nil
}

// sendTwice sends an answer, keeps the connection open, and sends the answer again after LateMs.
func (e *Executor) sendTwice(c *echo.Context, r reply) error {
	delay := e.Behaviour().LateMs
	conn, err := hijack(c)
	if err != nil {
		return err
	}
	defer conn.Close()
	encoded := r.encode(true)
	_, _ = conn.Write(encoded)
	_ = e.options.Clock.Sleep(e.bootContext(), delay)
	// The caller may have closed the connection, so the error is ignored.
	_, _ = conn.Write(encoded)
	_ = e.options.Clock.Sleep(e.bootContext(), lingerMs)
	return nil
}

// lingerMs is how long the connection stays open after the second answer, in milliseconds.
const lingerMs = 100 * croft.Millis(1)

// bootContext returns the context of the current boot.
func (e *Executor) bootContext() context.Context {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bootCtx
}

// sendTruncated sends an answer without the second half of its body and closes the connection.
func (e *Executor) sendTruncated(c *echo.Context, r reply, withLength bool) error {
	conn, err := hijack(c)
	if err != nil {
		return err
	}
	defer conn.Close()
	encoded := r.encode(withLength)
	_, _ = conn.Write(encoded[:len(encoded)-len(r.Body)/2])
	return nil
}
