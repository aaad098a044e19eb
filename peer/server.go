package peer

import (
	"context"
	"encoding/json"
	"expvar"
	"net"
	"sync"

	"github.com/sourcegraph/jsonrpc2"

	"waxwing.example/croft/links"
)

// Handler answers one message; its result is not used for a notification.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Server answers the messages of other entries.
type Server struct {
	key      []byte
	handlers map[string]Handler
	meter    *links.Meter
	refused  expvar.Int
	mu       sync.Mutex
	conns    map[*jsonrpc2.Conn]struct{}
}

// NewServer returns a server that answers holders of the key by a handler for each method.
func NewServer(key []byte, handlers map[string]Handler, meter *links.Meter) *Server {
	return &Server{
		key:      key,
		handlers: handlers,
		meter:    meter,
		conns:    map[*jsonrpc2.Conn]struct{}{},
	}
}

// Refused counts the connections whose other side did not prove the key.
func (s *Server) Refused() int64 { return s.refused.Value() }

// Serve accepts connections until the listener is closed, and returns its error.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	defer s.closeAll()
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		go s.serve(ctx, s.meter.Count(conn))
	}
}

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	if err := proveKey(conn, s.key, listener); err != nil {
		s.refused.Add(1)
		conn.Close()
		return
	}
	stream := jsonrpc2.NewBufferedStream(conn, jsonrpc2.VarintObjectCodec{})
	handler := jsonrpc2.HandlerWithError(s.handle).SuppressErrClosed()
	c := jsonrpc2.NewConn(ctx, stream, jsonrpc2.AsyncHandler(handler), quiet())
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	<-c.DisconnectNotify()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

func (s *Server) handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	h, found := s.handlers[req.Method]
	if !found {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
	}
	if req.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "Params missing"}
	}
	return h(ctx, *req.Params)
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// quiet drops the library's own log of broken connections, which probes report already.
func quiet() jsonrpc2.ConnOpt { return jsonrpc2.SetLogger(noLogger{}) }

type noLogger struct{}

func (noLogger) Printf(string, ...any) {}
