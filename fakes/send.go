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

// crossing is an answer that waits for another to change places with.
type crossing struct {
	mine reply
	// theirs gets the other answer; it is buffered, so that nobody waits to give it.
	theirs chan reply
}

// send sends an answer with its fault.
func (e *Executor) send(c *echo.Context, f fault, r reply) error {
	switch f {
	case faultCross:
		return e.sendWhole(c, e.cross(r))
	case faultLate:
		return e.sendTwice(c, r)
	case faultShort, faultUntold:
		return e.sendShort(c, r, f == faultShort)
	case faultReset:
		panic(http.ErrAbortHandler)
	case faultNone:
	}
	return e.sendWhole(c, r)
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

func (e *Executor) sendWhole(c *echo.Context, r reply) error {
	header := c.Response().Header()
	for name, values := range r.header() {
		header[name] = values
	}
	header.Set("Content-Length", strconv.Itoa(len(r.Body)))
	return c.Blob(r.Status, "application/json", r.Body)
}

// cross changes an answer for that of another run, or returns it where none comes in time.
func (e *Executor) cross(mine reply) reply {
	e.mu.Lock()
	if other := e.crossing; other != nil {
		e.crossing = nil
		e.mu.Unlock()
		other.theirs <- mine
		return other.mine
	}
	self := &crossing{mine: mine, theirs: make(chan reply, 1)}
	e.crossing = self
	life := e.life
	e.mu.Unlock()
	// A restart only ends the wait early.
	go func() {
		_ = e.options.Clock.Sleep(life, e.options.CrossWaitMs)
		e.uncross(self)
	}()
	return <-self.theirs
}

// uncross gives a waiting answer back where nobody came for it.
func (e *Executor) uncross(self *crossing) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crossing == self {
		e.crossing = nil
		self.theirs <- self.mine
	}
}

// bytes returns the answer as it goes over a connection, with its length or without one.
func (r reply) bytes(withLength bool) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", r.Status, http.StatusText(r.Status))
	h := r.header()
	if withLength {
		h.Set("Content-Length", strconv.Itoa(len(r.Body)))
	} else {
		h.Set("Connection", "close")
	}
	_ = h.Write(&b) // a buffer takes all
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// hijack takes the connection over from the HTTP server.
func hijack(c *echo.Context) (net.Conn, error) {
	conn, _, err := http.NewResponseController(c.Response()).Hijack()
	if err != nil {
		return nil, fmt.Errorf("taking a connection over: %w", err)
	}
	return conn, nil
}

// sendTwice sends an answer, keeps the connection, and sends the answer again later.
func (e *Executor) sendTwice(c *echo.Context, r reply) error {
	delay := e.Behaviour().LateMs
	conn, err := hijack(c)
	if err != nil {
		return err
	}
	defer conn.Close()
	whole := r.bytes(true)
	_, _ = conn.Write(whole)
	_ = e.options.Clock.Sleep(e.alive(), delay)
	// Whether the caller still listens is its own matter.
	_, _ = conn.Write(whole)
	_ = e.options.Clock.Sleep(e.alive(), lingerMs)
	return nil
}

// lingerMs keeps a connection open after a second answer, in milliseconds.
const lingerMs = 100 * croft.Millis(1)

// alive returns the context of the present boot.
func (e *Executor) alive() context.Context {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life
}

// sendShort sends a part of an answer and closes the connection.
func (e *Executor) sendShort(c *echo.Context, r reply, told bool) error {
	conn, err := hijack(c)
	if err != nil {
		return err
	}
	defer conn.Close()
	whole := r.bytes(told)
	_, _ = conn.Write(whole[:len(whole)-len(r.Body)/2])
	return nil
}
