package peer

import (
	"context"
	"encoding/json"
	"expvar"
	"net"
	"sync"

	"github.com/sourcegraph/jsonrpc2"

	"waxwing.example/croft/inflow"
	"waxwing.example/croft/links"
)

// Handler handles one message and returns its result, which is not used for a notification.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Server accepts connections of other entries and passes their messages to handlers.
type Server struct {
	key      []byte
	handlers map[string]Handler
	meter    *links.Meter
	gate     *inflow.Gate
	// refused counts connections whose handshake failed.
	refused expvar.Int
	// mu guards conns.
	mu    sync.Mutex
	conns map[*jsonrpc2.Conn]struct{}
}

// NewServer returns a server with a handler for each method; it serves only clients that hold the key. The gate limits the memory of
// their messages; it has to be that of the listener, nil for no limit.
func NewServer(key []byte, handlers map[string]Handler, meter *links.Meter, gate *inflow.Gate) *Server {
	return &Server{
		key:      key,
		handlers: handlers,
		meter:    meter,
		gate:     gate,
		conns:    map[*jsonrpc2.Conn]struct{}{},
	}
}

// Refused returns the number of connections whose handshake failed, because of a wrong key or otherwise.
func (s *Server) Refused() int64 { return s.refused.Value() }

// Serve accepts connections until the listener fails or is closed. It then closes all connections and returns the
// listener's error.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	defer s.closeAll()
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		go s.serve(ctx, conn)
	}
}

// serve performs the handshake and handles the messages of a connection until it is closed.
func (s *Server) serve(ctx context.Context, accepted net.Conn) {
	conn := s.meter.Count(accepted)
	limited, _ := accepted.(*inflow.Conn)
	if err := exchangeProofs(conn, s.key, listener); err != nil || !limited.Trust() {
		s.refused.Add(1)
		conn.Close()
		return
	}
	codec := &limitedCodec{conn: conn, gate: s.gate, maxBytes: maxRequestBytes, timeout: messageTimeout}
	handler := jsonrpc2.HandlerWithError(s.handle).SuppressErrClosed()
	c := jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(conn, codec), releasingHandler{Handler: handler, codec: codec}, withoutLog())
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

// withoutLog disables the library's own log of broken connections, which failed probes report already.
func withoutLog() jsonrpc2.ConnOpt { return jsonrpc2.SetLogger(discardLogger{}) }

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
