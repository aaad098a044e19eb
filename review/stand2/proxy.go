//go:build review2

package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// proxy passes connections on to a machine. While the machine is without power, it passes nothing on and answers nothing.
// After that, data on a connection from before makes it reset the connection, as the machine would, which does not know it.
type proxy struct {
	target string
	dark   atomic.Bool
	// power counts how often the machine got power.
	power atomic.Int64
	// onData is called with the data that callers send.
	onData func([]byte)
	mu     sync.Mutex
}

func (p *proxy) serve(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.pass(c.(*net.TCPConn))
		}
	}()
	return nil
}

// pass passes a connection on until the power changes.
func (p *proxy) pass(c *net.TCPConn) {
	power := p.power.Load()
	lost := p.dark.Load()
	var server net.Conn
	if !lost {
		var err error
		if server, err = net.Dial("tcp", p.target); err != nil {
			_ = c.SetLinger(0)
			c.Close()
			return
		}
		defer server.Close()
		go func() {
			buffer := make([]byte, 64<<10)
			for {
				n, err := server.Read(buffer)
				if p.dark.Load() || p.power.Load() != power {
					return
				}
				if err != nil {
					_ = c.SetLinger(0)
					c.Close()
					return
				}
				_, _ = c.Write(buffer[:n])
			}
		}()
	}
	buffer := make([]byte, 64<<10)
	for {
		n, err := c.Read(buffer)
		if err != nil {
			c.Close()
			return
		}
		switch {
		case p.dark.Load():
			lost = true
		case lost || p.power.Load() != power:
			_ = c.SetLinger(0)
			c.Close()
			return
		default:
			if p.onData != nil {
				p.onData(buffer[:n])
			}
			_, _ = server.Write(buffer[:n])
		}
	}
}
