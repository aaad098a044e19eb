package stubs

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/oklog/run"

	"waxwing.example/croft/links"
)

const (
	// stopTimeout limits the wait for running requests at a planned stop.
	stopTimeout = 10 * time.Second
	// headerTimeout limits the reading of the headers of a request.
	headerTimeout = 10 * time.Second
)

// server is the HTTP server of a stand-in.
type server struct {
	listener net.Listener
	network  *links.Network
	http     *http.Server
}

// checkListen returns an error if the value of --listen is not an IP number and a port.
func checkListen(listen string) error {
	if _, err := netip.ParseAddrPort(listen); err != nil {
		return fmt.Errorf("--listen: %q is not an IP number and port", listen)
	}
	return nil
}

// newNetwork returns the network of the IP number in listen, which checkListen has accepted; a stand-in dials and listens
// through it, so that tests can partition it from others.
func newNetwork(listen string) *links.Network {
	return links.New(netip.MustParseAddrPort(listen).Addr())
}

// newServer returns a server that listens at an address, for the stand-in's handler and the requests that partition its
// network; addTo starts it.
func newServer(network *links.Network, listen string, handler http.Handler) (*server, error) {
	listener, err := network.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("/", handler)
	mux.Handle(links.PathCuts, network.Handler())
	return &server{
		listener: listener,
		network:  network,
		http:     &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout},
	}, nil
}

// addTo adds to a group the server and a signal handler, which ends the group at SIGTERM or SIGINT.
func (s *server) addTo(ctx context.Context, g *run.Group) {
	g.Add(func() error { return s.http.Serve(s.listener) }, func(error) {
		stopping, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		if s.http.Shutdown(stopping) != nil {
			_ = s.http.Close() // aborts the requests that run longer than the timeout
		}
	})
	g.Add(run.SignalHandler(ctx, syscall.SIGTERM, syscall.SIGINT))
}

// ignoreSignal returns nil if a group was ended by a signal, else the error.
func ignoreSignal(err error) error {
	var signal run.SignalError
	if errors.As(err, &signal) {
		return nil
	}
	return err
}
