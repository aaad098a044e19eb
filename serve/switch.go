package serve

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// retirableHandler makes the responses of a handler close their connections once it is retired. http.Server.SetKeepAlivesEnabled
// would also close the idle ones, on which a request may be arriving.
type retirableHandler struct {
	http.Handler
	retired atomic.Bool
}

// ServeHTTP serves one request.
func (h *retirableHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.Handler.ServeHTTP(&retirableWriter{ResponseWriter: w, retired: &h.retired}, r)
}

// retirableWriter is the response writer of a retirableHandler.
type retirableWriter struct {
	http.ResponseWriter
	retired *atomic.Bool
}

// WriteHeader sends the status; the connection is closed after the response if the handler is retired by then.
func (w *retirableWriter) WriteHeader(status int) {
	if w.retired.Load() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Switch serves requests with limits that may change. The limits of an http.Server cannot be changed, so each change of them
// starts another one, and the former one ends its connections after their present or next requests.
type Switch struct {
	listener net.Listener
	handler  http.Handler
	// limitsOf returns the limits in use, given the former ones.
	limitsOf func(former HeaderLimits) HeaderLimits

	mu      sync.Mutex
	limits  HeaderLimits
	current *http.Server
	accepts *handoff
	// requests is the handler of the current server.
	requests *retirableHandler
	// retired are the former servers that may have connections.
	retired []*http.Server
	closed  bool
}

// NewSwitch returns a server of a listener's connections, which a gate limits; limitsOf returns the limits in use, given the
// former ones.
func NewSwitch(l net.Listener, h http.Handler, limits HeaderLimits, limitsOf func(former HeaderLimits) HeaderLimits) *Switch {
	return &Switch{listener: l, handler: h, limits: limits, limitsOf: limitsOf}
}

// Addr returns the address of the listener.
func (s *Switch) Addr() net.Addr { return s.listener.Addr() }

// Serve accepts connections until Shutdown is called.
func (s *Switch) Serve() error {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return http.ErrServerClosed
		}
		if accepts := s.acceptsOf(); accepts != nil {
			accepts.pass(conn)
		} else {
			conn.Close()
		}
	}
}

// acceptsOf returns the listener of the server with the limits in use, nil after Shutdown.
func (s *Switch) acceptsOf() *handoff {
	s.mu.Lock()
	defer s.mu.Unlock()
	limits := s.limitsOf(s.limits)
	if s.closed {
		return nil
	}
	if s.current != nil && limits == s.limits {
		return s.accepts
	}
	if s.current != nil {
		s.retire()
	}
	s.requests = &retirableHandler{Handler: s.handler}
	s.limits, s.current, s.accepts = limits, New(s.requests, limits), newHandoff(s.listener.Addr())
	go func(server *http.Server, accepts *handoff) { _ = server.Serve(accepts) }(s.current, s.accepts)
	return s.accepts
}

// retire lets the current server end its connections: each one is closed after its present or next request, or once it has been
// idle for the timeout. The caller holds the lock.
func (s *Switch) retire() {
	server := s.current
	s.requests.retired.Store(true)
	s.retired = append(s.retired, server)
	// A request may begin to arrive until the idle timeout has passed, and its headers may take as long as theirs.
	time.AfterFunc((s.limits.Idle + s.limits.Timeout).Duration(), func() {
		_ = server.Shutdown(context.Background())
		s.mu.Lock()
		defer s.mu.Unlock()
		s.retired = slices.DeleteFunc(s.retired, func(other *http.Server) bool { return other == server })
	})
}

// Shutdown accepts no further connections and waits for the requests in progress.
func (s *Switch) Shutdown(ctx context.Context) {
	s.listener.Close()
	s.mu.Lock()
	s.closed = true
	servers := slices.Clone(s.retired)
	if s.current != nil {
		servers = append(servers, s.current)
	}
	s.mu.Unlock()
	var group sync.WaitGroup
	for _, server := range servers {
		group.Go(func() { _ = server.Shutdown(ctx) })
	}
	group.Wait()
}
