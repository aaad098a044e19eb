package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/google/uuid"
	"github.com/oklog/run"

	"waxwing.example/croft"
	"waxwing.example/croft/claim"
	"waxwing.example/croft/clock"
	"waxwing.example/croft/commit"
	"waxwing.example/croft/conf"
	"waxwing.example/croft/fleet"
	"waxwing.example/croft/front"
	"waxwing.example/croft/inflow"
	"waxwing.example/croft/lease"
	"waxwing.example/croft/links"
	"waxwing.example/croft/logs"
	"waxwing.example/croft/ops"
	"waxwing.example/croft/peer"
	"waxwing.example/croft/plat"
	"waxwing.example/croft/roster"
	"waxwing.example/croft/serve"
	"waxwing.example/croft/setup"
	"waxwing.example/croft/state"
)

// components holds the parts of one entry that its goroutines and handlers share.
type components struct {
	settings setup.Entry
	self     croft.Peer
	clock    croft.Clock
	log      *logs.Logger
	network  *links.Network
	platform croft.Platform
	table    croft.Table
	executor croft.Executor
	client   *peer.Client
	// peerMeter and platformMeter count the bytes exchanged with other entries and with the platform; callers' requests
	// are not included.
	peerMeter     *links.Meter
	platformMeter *links.Meter
	commands      *pendingCommands
	loop          *loop
	claims        *claim.Claimer
	front         *front.Front
	gates         gates
	metrics       *metrics
}

// Daemon runs one entry.
type Daemon struct {
	*components
	runner *effectRunner
}

// New builds an entry from its settings. The entry logs to the output, and serves only while Run is running.
func New(settings setup.Entry, output io.Writer) (*Daemon, error) {
	peersAddress, err := netip.ParseAddrPort(settings.Peers)
	if err != nil {
		return nil, err
	}
	c := &components{
		settings:      settings,
		clock:         clock.NewSystem(),
		network:       links.New(peersAddress.Addr()),
		peerMeter:     links.NewMeter(),
		platformMeter: links.NewMeter(),
		commands:      newPendingCommands(),
		metrics:       newMetrics(),
	}
	c.self = croft.Peer{
		ID:         newEntryID(settings.DataCentre),
		DataCentre: settings.DataCentre,
		Address:    settings.Peers,
	}
	c.log = logs.New(output, settings.Log, c.clock)
	c.gates = c.newGates()
	c.platform = plat.New(plat.Options{
		Address: "http://" + settings.PlatformAddress,
		Dial:    c.platformMeter.Dial(c.network.Dial),
		Timeout: settings.Timing.PlatformMs,
	})
	c.table = commit.New(c.platform, c.clock)
	c.client = peer.NewClient([]byte(settings.PeerKey), c.network.Dial, c.peerMeter)
	d := &Daemon{components: c, runner: newEffectRunner(c)}
	c.loop = newLoop(state.New(c.stateOptions()), d.runner.perform, unixMicros)
	c.executor = c.newExecutor()
	c.claims = claim.New(claim.Options{Table: c.platform, Clock: c.clock, Viewer: c.loop, Remote: remoteClaims{c}})
	c.front = front.New(c.frontOptions())
	c.metrics.publish(c)
	return d, nil
}

// entryIDBytes is the length of the random part of an entry's ID, in bytes. It is short because
// each message between entries carries several IDs.
const entryIDBytes = 6

// newEntryID returns the data centre's name with a random suffix; each start of an entry gets a new ID.
func newEntryID(centre croft.DataCentre) croft.EntryID {
	id := uuid.New()
	return croft.EntryID(fmt.Sprintf("%s-%x", centre, id[:entryIDBytes]))
}

// unixMicros returns the wall clock time in microseconds, to measure the time spent reducing.
func unixMicros() int64 { return time.Now().UnixMicro() }

// eventTime returns the current time as the time of an event.
func (c *components) eventTime() croft.At { return croft.At{Time: c.clock.Now()} }

// stateOptions converts the settings to the options of the control state.
func (c *components) stateOptions() state.Options {
	leases := lease.DefaultOptions()
	leases.Fence = c.settings.Policies.Fence
	return state.Options{
		Self:   c.self,
		Roster: roster.Options{Seeds: c.settings.SeedPeers, ProbeNear: c.settings.Timing.ProbeMs, ProbeFar: 3 * c.settings.Timing.ProbeMs},
		Fleet: fleet.Options{
			Lease:       leases,
			FixedBuffer: c.settings.Policies.Buffer == "Fixed",
			ListOnly:    c.listOnly(),
		},
		Conf: conf.Options{LastRead: c.settings.Policies.Config == policyLastRead},
	}
}

// logPlatformError counts and logs a failed call to the platform.
func (c *components) logPlatformError(err error) {
	c.metrics.platformErrors.Add(1)
	c.log.Warn("Platform", c.settings.PlatformAddress, err.Error())
}

// Run serves until the context ends, then drains the requests of callers before it stops everything else.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.log.Close()
	defer d.client.Close()
	listeners, err := d.listen()
	if err != nil {
		return err
	}
	var g run.Group
	d.addBackground(&g)
	d.addServers(&g, listeners)
	d.addShutdown(ctx, &g)
	err = g.Run()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// listeners are the sockets that an entry accepts connections on.
type listeners struct{ callers, operators, peers net.Listener }

// listen opens all listeners; if one of them fails, it closes the others.
func (d *Daemon) listen() (listeners, error) {
	var opened []net.Listener
	open := func(address string, gate *inflow.Gate, track func(net.Listener) net.Listener) (net.Listener, error) {
		l, err := inflow.Listen(address, gate.Limits())
		if err != nil {
			for _, other := range opened {
				other.Close()
			}
			return nil, err
		}
		opened = append(opened, l)
		return gate.Wrap(track(l)), nil
	}
	untracked := func(l net.Listener) net.Listener { return l }
	var l listeners
	var err error
	if l.callers, err = open(d.settings.Callers, d.gates.callers, d.network.Track); err != nil {
		return l, err
	}
	if l.operators, err = open(d.settings.Operators, d.gates.operators, untracked); err != nil {
		return l, err
	}
	l.peers, err = open(d.settings.Peers, d.gates.peers, d.network.Track)
	return l, err
}

// addActor adds an actor to the group; its context is cancelled when the group stops.
func addActor(g *run.Group, actor func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return actor(ctx) }, func(error) { cancel() })
}

// addBackground adds the control loop, the ticker, the pollers, the claim writer, the front's loop and the workers.
func (d *Daemon) addBackground(g *run.Group) {
	addActor(g, d.loop.run)
	addActor(g, d.tick)
	addActor(g, d.pollVMs)
	addActor(g, d.pollReports)
	addActor(g, d.claims.Run)
	addActor(g, d.front.Run)
	for range platformWorkers {
		addActor(g, func(ctx context.Context) error { return runWorker(ctx, d.runner.platformJobs) })
	}
	for range peerWorkers {
		addActor(g, func(ctx context.Context) error { return runWorker(ctx, d.runner.peerJobs) })
	}
}

// addServers adds the servers for other entries, callers and operators.
func (d *Daemon) addServers(g *run.Group, l listeners) {
	peers := peer.NewServer([]byte(d.settings.PeerKey), d.handlers(), d.peerMeter, d.gates.peers)
	addActor(g, func(ctx context.Context) error {
		go func() {
			<-ctx.Done()
			l.peers.Close()
		}()
		return peers.Serve(ctx, l.peers)
	})
	d.addHTTP(g, l.callers, d.front.Handler())
	d.addHTTP(g, l.operators, ops.NewHandler(backend{d.components}, d.opsOptions()))
}

// addHTTP adds an HTTP server that is shut down gracefully, within the StopMs setting.
func (d *Daemon) addHTTP(g *run.Group, l net.Listener, h http.Handler) {
	s := serve.New(h, d.headerLimits())
	g.Add(func() error { return s.Serve(l) }, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), d.settings.Timing.StopMs.Duration())
		defer cancel()
		_ = s.Shutdown(ctx)
	})
}

// addShutdown adds an actor that waits for the context to end and then drains the callers' requests. When it returns,
// the group stops.
func (d *Daemon) addShutdown(ctx context.Context, g *run.Group) {
	groupStopped := make(chan struct{})
	g.Add(func() error {
		select {
		case <-groupStopped:
			return nil
		case <-ctx.Done():
		}
		d.loop.deliver(croft.StopRequested{At: d.eventTime()})
		drainCtx, cancel := context.WithTimeout(context.Background(), d.settings.Timing.StopMs.Duration())
		defer cancel()
		return d.front.Stop(drainCtx)
	}, func(error) { close(groupStopped) })
}
