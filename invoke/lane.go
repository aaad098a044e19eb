package invoke

import (
	"net/http"
	"sync"

	"waxwing.example/croft/sent"
)

// lane is one connection to an endpoint, held by one attempt until its answer is checked.
//
// A shared transport would put a connection back as soon as an answer's last byte is read, and so
// before anybody knows whether it was the right answer.
type lane struct{ transport *http.Transport }

func newLane(dial sent.Dial) *lane {
	return &lane{transport: &http.Transport{
		DialContext:            dial,
		MaxConnsPerHost:        1,
		MaxIdleConnsPerHost:    1,
		MaxResponseHeaderBytes: maxHeader,
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout.Duration(),
	}}
}

// lanes are the connections to one endpoint.
type lanes struct {
	mu   sync.Mutex
	idle []*lane
	used int
}

// take returns the lane used last, a new one where none is idle, or nil at the limit.
func (l *lanes) take(dial sent.Dial, limit int) *lane {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.used >= limit {
		return nil
	}
	l.used++
	if n := len(l.idle); n > 0 {
		taken := l.idle[n-1]
		l.idle = l.idle[:n-1]
		return taken
	}
	return newLane(dial)
}

// give puts a lane back.
func (l *lanes) give(taken *lane) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used--
	l.idle = append(l.idle, taken)
}

// drop forgets a lane whose connection was closed: its transport may not have noticed yet, and would send the
// next attempt into the closed connection.
func (l *lanes) drop(taken *lane) {
	taken.transport.CloseIdleConnections()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used--
}

func (l *lanes) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, i := range l.idle {
		i.transport.CloseIdleConnections()
	}
	l.idle = nil
}
