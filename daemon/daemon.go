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
	"waxwing.example/croft/conf"
	"waxwing.example/croft/fleet"
	"waxwing.example/croft/front"
	"waxwing.example/croft/lease"
	"waxwing.example/croft/links"
	"waxwing.example/croft/logs"
	"waxwing.example/croft/ops"
	"waxwing.example/croft/peer"
	"waxwing.example/croft/plat"
	"waxwing.example/croft/roster"
	"waxwing.example/croft/settle"
	"waxwing.example/croft/setup"
	"waxwing.example/croft/state"
)

// parts is what the pieces of one entry share.
type parts struct {
	settings setup.Entry
	self     croft.Peer
	clock    croft.Clock
	log      *logs.Logger
	network  *links.Network
	platform croft.Platform
	table    croft.Table
	executor croft.Executor
	client   *peer.Client
	// peerMeter and platformMeter count the bytes of control.
	peerMeter     *links.Meter
	platformMeter *links.Meter
	questions     *questions
	loop          *loop
	claims        *claim.Claimer
	front         *front.Front
	vars          *vars
}

// Daemon is one entry.
type Daemon struct {
	*parts
	effects *effects
}

// New returns an entry by its settings that logs to an output; Run starts it.
func New(settings setup.Entry, output io.Writer) (*Daemon, error) {
	own, err := netip.ParseAddrPort(settings.Peers)
	if err != nil {
		return nil, err
	}
	p := &parts{
		settings:      settings,
		clock:         clock.NewSystem(),
		network:       links.New(own.Addr()),
		peerMeter:     links.NewMeter(),
		platformMeter: links.NewMeter(),
		questions:     newQuestions(),
		vars:          newVars(),
	}
	p.self = croft.Peer{
		ID:         newEntryID(settings.DataCentre),
		DataCentre: settings.DataCentre,
		Address:    settings.Peers,
	}
	p.log = logs.New(output, settings.Log, p.clock)
	p.platform = plat.New(plat.Options{
		Address: "http://" + settings.PlatformAddress,
		Dial:    p.platformMeter.Dial(p.network.Dial),
		Timeout: settings.Timing.PlatformMs,
	})
	p.table = settle.New(p.platform, p.clock)
	p.client = peer.NewClient([]byte(settings.PeerKey), p.network.Dial, p.peerMeter)
	d := &Daemon{parts: p, effects: newEffects(p)}
	p.loop = newLoop(state.New(p.stateOptions()), d.effects.perform, micros)
	p.executor = p.newExecutor()
	p.claims = claim.New(claim.Options{Table: p.platform, Clock: p.clock, Viewer: p.loop, Remote: remote{p}})
	p.front = front.New(p.frontOptions())
	p.vars.publish(p)
	return d, nil
}

// entryIDBytes is the length of the random part of an entry's id: short, since every message
// between entries carries several.
const entryIDBytes = 6

func newEntryID(centre croft.DataCentre) croft.EntryID {
	id := uuid.New()
	return croft.EntryID(fmt.Sprintf("%s-%x", centre, id[:entryIDBytes]))
}

func micros() int64 { return time.Now().UnixMicro() }

func (p *parts) at() croft.At { return croft.At{Time: p.clock.Now()} }

func (p *parts) stateOptions() state.Options {
	leases := lease.DefaultOptions()
	leases.Fence = p.settings.Policies.Fence
	return state.Options{
		Self:   p.self,
		Roster: roster.Options{Seeds: p.settings.SeedPeers, ProbeNear: p.settings.Timing.ProbeMs, ProbeFar: 3 * p.settings.Timing.ProbeMs},
		Fleet: fleet.Options{
			Lease:       leases,
			FixedBuffer: p.settings.Policies.Buffer == "Fixed",
			ListOnly:    p.listOnly(),
		},
		Conf: conf.Options{LastRead: p.settings.Policies.Config == policyLastRead},
	}
}

func (p *parts) platformFailed(err error) {
	p.vars.platformErrors.Add(1)
	p.log.Warn("Platform", p.settings.PlatformAddress, err.Error())
}

// Run serves until the context ends, and then stops in order: callers first, control last.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.log.Close()
	defer d.client.Close()
	listeners, err := d.listen()
	if err != nil {
		return err
	}
	var g run.Group
	d.addControl(&g)
	d.addServers(&g, listeners)
	d.addStop(ctx, &g)
	err = g.Run()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

type listeners struct{ callers, operators, peers net.Listener }

func (d *Daemon) listen() (listeners, error) {
	var l listeners
	var err error
	if l.callers, err = d.network.Listen("tcp", d.settings.Callers); err != nil {
		return l, err
	}
	if l.operators, err = net.Listen("tcp", d.settings.Operators); err != nil {
		l.callers.Close()
		return l, err
	}
	if l.peers, err = d.network.Listen("tcp", d.settings.Peers); err != nil {
		l.callers.Close()
		l.operators.Close()
		return l, err
	}
	return l, nil
}

// addActor adds work that ends with its context.
func addActor(g *run.Group, work func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return work(ctx) }, func(error) { cancel() })
}

func (d *Daemon) addControl(g *run.Group) {
	addActor(g, d.loop.run)
	addActor(g, d.tick)
	addActor(g, d.pollVMs)
	addActor(g, d.pollReports)
	addActor(g, d.claims.Run)
	addActor(g, d.front.Run)
	for range platformWorkers {
		addActor(g, func(ctx context.Context) error { return work(ctx, d.effects.platformJobs) })
	}
	for range peerWorkers {
		addActor(g, func(ctx context.Context) error { return work(ctx, d.effects.peerJobs) })
	}
}

func (d *Daemon) addServers(g *run.Group, l listeners) {
	peers := peer.NewServer([]byte(d.settings.PeerKey), d.handlers(), d.peerMeter)
	addActor(g, func(ctx context.Context) error {
		go func() {
			<-ctx.Done()
			l.peers.Close()
		}()
		return peers.Serve(ctx, l.peers)
	})
	d.addHTTP(g, l.callers, d.front.Handler())
	d.addHTTP(g, l.operators, ops.NewHandler(backend{d.parts}, d.opsOptions()))
}

// headerSpan bounds the time in which a request's headers must arrive, in milliseconds.
const headerSpan = 10 * croft.Second

func (d *Daemon) addHTTP(g *run.Group, l net.Listener, h http.Handler) {
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerSpan.Duration(),
		MaxHeaderBytes:    d.settings.Limits.HeaderBytes,
	}
	g.Add(func() error { return s.Serve(l) }, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), d.settings.Timing.StopMs.Duration())
		defer cancel()
		_ = s.Shutdown(ctx)
	})
}

// addStop ends the group once the context ended and the traffic was drained.
func (d *Daemon) addStop(ctx context.Context, g *run.Group) {
	ended := make(chan struct{})
	g.Add(func() error {
		select {
		case <-ended:
			return nil
		case <-ctx.Done():
		}
		d.loop.deliver(croft.StopRequested{At: d.at()})
		drain, cancel := context.WithTimeout(context.Background(), d.settings.Timing.StopMs.Duration())
		defer cancel()
		return d.front.Stop(drain)
	}, func(error) { close(ended) })
}
