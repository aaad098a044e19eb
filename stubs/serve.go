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
	// stopTimeout bounds a planned stop.
	stopTimeout = 10 * time.Second
	// headerTimeout bounds the reading of a request's headers.
	headerTimeout = 10 * time.Second
)

// server is a stand-in at its address.
type server struct {
	listener net.Listener
	network  *links.Network
	http     *http.Server
}

// checkListen returns an error for what is not an IP number and port.
func checkListen(listen string) error {
	if _, err := netip.ParseAddrPort(listen); err != nil {
		return fmt.Errorf("--listen: %q is not an IP number and port", listen)
	}
	return nil
}

// newNetwork returns the network of the IP number that a stand-in listens on, a checked one.
func newNetwork(listen string) *links.Network {
	return links.New(netip.MustParseAddrPort(listen).Addr())
}

// newServer listens at an address for a stand-in and for orders to cut its network.
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

// serve adds the server, and the signals that stop it, to a group.
func (s *server) serve(ctx context.Context, g *run.Group) {
	g.Add(func() error { return s.http.Serve(s.listener) }, func(error) {
		stopping, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		if s.http.Shutdown(stopping) != nil {
			_ = s.http.Close() // what still runs after the time is cut
		}
	})
	g.Add(run.SignalHandler(ctx, syscall.SIGTERM, syscall.SIGINT))
}

// stopped turns the end of a group by a signal into a success.
func stopped(err error) error {
	var signal run.SignalError
	if errors.As(err, &signal) {
		return nil
	}
	return err
}
