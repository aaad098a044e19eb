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
	// Count counts a drop; Open reports the numbers of connections and of bytes of bodies that are being received, nil for neither.
	Count func(Reason)
	Open  func(connections int, bytes int64)
}

// Gate applies the limits of a listener to its connections; it is safe for concurrent use.
type Gate struct {
	options Options
	// processing limits the memory of requests in progress, responses that of responses.
	processing, responses *semaphore.Weighted

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
		responses: semaphore.NewWeighted(options.Limits.ResponseBytes),
		table:     NewTable(options.Limits), conns: map[ID]*Conn{}, loggedAt: -logInterval,
	}
}

// Limits returns the limits of the gate.
func (g *Gate) Limits() Limits { return g.options.Limits }

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
		if opening.Refused {
			g.record(ReasonWaiting)
			refuse([]*Conn{old})
		}
		if !delayed {
			g.record(ReasonDelayed)
		}
		_ = g.options.Clock.Sleep(context.Background(), opening.Wait)
	}
	return false
}

// tryOpen returns the table's decision about a new connection, and the connection to close or to refuse, nil if there is none.
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
		return opening, g.conns[opening.Refuse]
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
	refuse(refused)
	return ok
}

// refuse ends the waits of requests.
func refuse(conns []*Conn) {
	for _, c := range conns {
		if c == nil {
			continue
		}
		if end := c.refuse.Load(); end != nil {
			(*end)()
		}
	}
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
func (g *Gate) report() {
	if g.options.Open != nil {
		g.options.Open(g.table.Connections(), g.table.Bytes())
	}
}

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

// Process waits until the memory that a request needs is free, and returns a function that must be called once the request has
// ended. It returns ErrDropped if the request was dropped meanwhile or the context ended.
func (g *Gate) Process(ctx context.Context, c *Conn, need int64) (release func(), err error) {
	if g == nil {
		return func() {}, nil
	}
	need = min(need, g.options.Limits.ProcessedBytes)
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
	ctx, done, ok := c.Wait(ctx)
	if !ok {
		return ErrDropped
	}
	defer done()
	if g.processing.Acquire(ctx, need) != nil {
		g.record(ReasonProcessed)
		return ErrDropped
	}
	return nil
}

// Respond waits until the memory that a response needs is free, and returns a function that must be called once the response has
// been sent. Meanwhile it closes connections whose clients do not read their responses. It returns ErrDropped if the context ended.
func (g *Gate) Respond(ctx context.Context, need int64) (release func(), err error) {
	if g == nil {
		return func() {}, nil
	}
	need = min(need, g.options.Limits.ResponseBytes)
	if !g.responses.TryAcquire(need) {
		waiting, cancel := context.WithCancel(ctx)
		go g.dropStalled(waiting)
		err := g.responses.Acquire(ctx, need)
		cancel()
		if err != nil {
			return nil, ErrDropped
		}
	}
	return func() { g.responses.Release(need) }, nil
}

// dropStalled closes connections whose clients do not read their responses, until the context ends.
func (g *Gate) dropStalled(ctx context.Context) {
	for {
		at := g.options.Clock.Elapsed()
		g.mu.Lock()
		id, ok := g.table.DropStalled(at)
		victim := g.conns[id]
		g.mu.Unlock()
		if ok && victim != nil {
			g.record(ReasonResponses)
			_ = victim.Close()
			continue
		}
		if g.options.Clock.Sleep(ctx, maxWait) != nil {
			return
		}
	}
}

func (g *Gate) process(c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.report()
	return g.table.Process(c.id)
}

func (g *Gate) wait(c *Conn) bool {
	at := g.options.Clock.Elapsed()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Wait(c.id, at)
}

func (g *Gate) trust(c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Trust(c.id)
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
