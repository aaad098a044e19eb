package inflow

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/semaphore"

	"waxwing.example/croft"
)

// ErrDropped reports that a request was dropped in favour of others; it was not processed.
var ErrDropped = errors.New("inflow: dropped in favour of other requests")

// logInterval is the minimum time between two log lines of a gate.
const logInterval = 1 * croft.Second

// Options configure a Gate.
type Options struct {
	// Name names the listener in log lines.
	Name   string
	Limits Limits
	Clock  croft.Clock
	Log    croft.DecisionLog
	// Count counts a drop; Open reports the numbers of connections and of bytes of bodies that are being received.
	Count func(Reason)
	Open  func(connections int, bytes int64)
}

// Gate applies the limits of a listener to its connections; it is safe for concurrent use.
type Gate struct {
	options Options
	// processing limits the memory of submissions in progress.
	processing *semaphore.Weighted

	mu    sync.Mutex
	table *Table
	conns map[ID]*Conn
	last  ID
	// loggedAt is when the last line was logged, and unlogged the number of drops since.
	loggedAt croft.Millis
	unlogged int
}

// NewGate returns a gate without connections.
func NewGate(options Options) *Gate {
	return &Gate{
		options: options, processing: semaphore.NewWeighted(options.Limits.ProcessedBytes),
		table: NewTable(options.Limits), conns: map[ID]*Conn{}, loggedAt: -logInterval,
	}
}

// open adds a connection as soon as there is room for it, and closes the one that it replaces. It returns false if the listener is
// closed before.
func (g *Gate) open(c *Conn, closed *atomic.Bool) bool {
	for delayed := false; !closed.Load(); delayed = true {
		opening, old := g.tryOpen(c)
		if opening.Wait == 0 {
			if old != nil {
				g.record(ReasonConnections)
				// An error means that the client has closed it as well.
				_ = old.Close()
			}
			return true
		}
		if !delayed {
			g.record(ReasonDelayed)
		}
		_ = g.options.Clock.Sleep(context.Background(), opening.Wait)
	}
	return false
}

// tryOpen returns the table's decision about a new connection, and the connection to close, nil if there is none.
func (g *Gate) tryOpen(c *Conn) (Opening, *Conn) {
	at := g.options.Clock.Elapsed()
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.id == 0 {
		g.last++
		c.id = g.last
	}
	opening := g.table.Open(c.id, at)
	if opening.Wait > 0 {
		return opening, nil
	}
	g.conns[c.id] = c
	g.report()
	if !opening.Dropped {
		return opening, nil
	}
	return opening, g.conns[opening.Drop]
}

// receive passes the growth of a body's buffer to the table and drops the bodies that make room for it.
func (g *Gate) receive(c *Conn, bytes int64) bool {
	g.mu.Lock()
	drops, ok := g.table.Receive(c.id, bytes)
	closed, refused := g.find(drops.Close), g.find(drops.Refuse)
	g.report()
	g.mu.Unlock()
	for _, victim := range closed {
		g.record(ReasonReceived)
		_ = victim.Close()
	}
	for _, victim := range refused {
		if cancel := victim.cancel.Load(); cancel != nil {
			(*cancel)()
		}
	}
	return ok
}

// find returns connections by their IDs; the caller holds the lock.
func (g *Gate) find(ids []ID) []*Conn {
	var out []*Conn
	for _, id := range ids {
		if c, ok := g.conns[id]; ok {
			out = append(out, c)
		}
	}
	return out
}

// close removes a connection.
func (g *Gate) close(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Close(c.id)
	delete(g.conns, c.id)
	g.report()
}

// report passes on what is open; the caller holds the lock.
func (g *Gate) report() { g.options.Open(g.table.Connections(), g.table.Bytes()) }

// record counts a drop, and logs it unless another one was logged within logInterval.
func (g *Gate) record(reason Reason) {
	g.options.Count(reason)
	at := g.options.Clock.Elapsed()
	g.mu.Lock()
	g.unlogged++
	dropped, connections, bytes := g.unlogged, g.table.Connections(), g.table.Bytes()
	due := at-g.loggedAt >= logInterval
	if due {
		g.loggedAt, g.unlogged = at, 0
	}
	g.mu.Unlock()
	if due {
		g.options.Log.Log(croft.Decision{Action: "Inflow", Subject: g.options.Name, Choice: string(reason), Reason: fmt.Sprintf(
			"%d dropped since the last line; %d of %d connections, %d of %d bytes of bodies",
			dropped, connections, g.options.Limits.Connections, bytes, g.options.Limits.ReceivedBytes)})
	}
}

// Process waits until the memory for a body that was received whole is free, and returns a function that must be called once the
// submission has ended. It returns ErrDropped if the body was dropped meanwhile or the context ended.
func (g *Gate) Process(ctx context.Context, c *Conn, bodyBytes int) (release func(), err error) {
	need := min(int64(bodyBytes)*ProcessedFactor, g.options.Limits.ProcessedBytes)
	if !g.processing.TryAcquire(need) {
		if err := g.await(ctx, c, need); err != nil {
			return nil, err
		}
	}
	if c != nil && !g.process(c) {
		g.processing.Release(need)
		return nil, ErrDropped
	}
	return func() { g.processing.Release(need) }, nil
}

// await waits for memory in the order of arrival.
func (g *Gate) await(ctx context.Context, c *Conn, need int64) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if c != nil {
		c.cancel.Store(&cancel)
		defer c.cancel.Store(nil)
		if !g.wait(c) {
			return ErrDropped
		}
	}
	if g.processing.Acquire(ctx, need) != nil {
		g.record(ReasonProcessed)
		return ErrDropped
	}
	return nil
}

func (g *Gate) process(c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.report()
	return g.table.Process(c.id)
}

func (g *Gate) wait(c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Wait(c.id)
}

func (g *Gate) begin(c *Conn, readsBody bool) bool {
	at := g.options.Clock.Elapsed()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Begin(c.id, readsBody, at)
}

func (g *Gate) handled(c *Conn, ignoredBody bool) {
	at := g.options.Clock.Elapsed()
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.report()
	g.table.Handled(c.id, ignoredBody, at)
}

func (g *Gate) send(c *Conn) {
	at := g.options.Clock.Elapsed()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Send(c.id, at)
}

func (g *Gate) idle(c *Conn) {
	at := g.options.Clock.Elapsed()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Idle(c.id, at)
}

func (g *Gate) timedOut(c *Conn) Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.TimedOut(c.id)
}
