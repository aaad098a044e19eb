package logs

import (
	"bufio"
	"expvar"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"waxwing.example/croft"
	"waxwing.example/croft/setup"
)

// outputBufferBytes is the size of the buffer in which lines are collected for one write to the output.
const outputBufferBytes = 64 << 10

// Logger implements croft.DecisionLog with a bounded queue and one writing goroutine; if the queue is full, a line is
// dropped and counted.
type Logger struct {
	clock    croft.Clock
	minLevel log.Level
	queue    chan line
	done     chan struct{}

	mu     sync.RWMutex
	closed bool

	written expvar.Int
	dropped expvar.Int
	failed  expvar.Int
}

// line is a log line in the queue.
type line struct {
	level    log.Level
	at       croft.Millis
	decision croft.Decision
}

// New starts a logger that writes to an output, which Close does not close. An unknown level in the settings means info.
func New(out io.Writer, settings setup.Log, clock croft.Clock) *Logger {
	minLevel, err := log.ParseLevel(settings.Level)
	if err != nil {
		minLevel = log.InfoLevel
	}
	l := &Logger{
		clock:    clock,
		minLevel: minLevel,
		queue:    make(chan line, max(settings.Queue, 1)),
		done:     make(chan struct{}),
	}
	go l.writeLines(out, settings.Format)
	return l
}

// Log queues a decision at level info; it never blocks.
func (l *Logger) Log(decision croft.Decision) { l.enqueue(log.InfoLevel, decision) }

// Warn queues a line about a subject at level warn; it never blocks.
func (l *Logger) Warn(action, subject, reason string) {
	l.enqueue(log.WarnLevel, croft.Decision{Action: action, Subject: subject, Reason: reason})
}

// Error queues a line about a subject at level error; it never blocks.
func (l *Logger) Error(action, subject, reason string) {
	l.enqueue(log.ErrorLevel, croft.Decision{Action: action, Subject: subject, Reason: reason})
}

// enqueue queues a line if its level is high enough; it drops and counts the line if the queue is full or closed.
func (l *Logger) enqueue(level log.Level, decision croft.Decision) {
	if level < l.minLevel {
		return
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	if l.closed {
		l.dropped.Add(1)
		return
	}
	select {
	case l.queue <- line{level: level, at: l.clock.Now(), decision: decision}:
	default:
		l.dropped.Add(1)
	}
}

// Close stops the logger and returns once all queued lines are written; lines logged later are dropped and counted.
func (l *Logger) Close() {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.queue)
	}
	l.mu.Unlock()
	<-l.done
}

// Metrics returns the numbers of lines Written, Dropped (the queue was full or closed) and Waiting in the queue, and of
// Failed writes to the output.
func (l *Logger) Metrics() expvar.Var {
	m := new(expvar.Map)
	m.Set("Written", &l.written)
	m.Set("Dropped", &l.dropped)
	m.Set("Failed", &l.failed)
	m.Set("Waiting", expvar.Func(func() any { return len(l.queue) }))
	return m
}

// writeLines writes queued lines until the queue is closed. Whenever the queue is empty, it adds a line that reports
// newly dropped lines, and flushes the buffer.
func (l *Logger) writeLines(out io.Writer, format string) {
	defer close(l.done)
	w := &writer{logger: l, buffered: bufio.NewWriterSize(&errorCountingOutput{out: out, failed: &l.failed}, outputBufferBytes)}
	w.formatted = log.NewWithOptions(w.buffered, log.Options{
		Level:           l.minLevel,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
		TimeFunction:    func(time.Time) time.Time { return time.UnixMilli(int64(w.lineTime)).UTC() },
		Formatter:       formatterFor(format),
	})
	reportedDropped := int64(0)
	for next := range l.queue {
		w.writeLine(next)
		if len(l.queue) > 0 {
			continue
		}
		if dropped := l.dropped.Value(); dropped > reportedDropped {
			w.formatted.Log(log.WarnLevel, "Log", "Subject", "queue", "Choice", "Dropped", "Reason",
				strconv.FormatInt(dropped-reportedDropped, 10)+" lines were dropped because the queue was full")
			reportedDropped = dropped
		}
		w.flush()
	}
	w.flush()
}

// formatterFor returns the formatter of a format in the settings. Text is written as logfmt, since the library's styled
// text takes several times as long per line.
func formatterFor(format string) log.Formatter {
	if format == "json" {
		return log.JSONFormatter
	}
	return log.LogfmtFormatter
}

// writer formats and buffers lines; only the logger's writing goroutine uses it.
type writer struct {
	logger    *Logger
	buffered  *bufio.Writer
	formatted *log.Logger
	// lineTime is the time of the line being formatted.
	lineTime croft.Millis
	// reportedDropped is the number of dropped lines that flush has reported in the log.
	reportedDropped int64
}

// writeLine formats a line into the buffer.
func (w *writer) writeLine(next line) {
	w.lineTime = next.at
	d := next.decision
	w.formatted.Log(next.level, d.Action, "Subject", d.Subject, "Choice", d.Choice, "Reason", d.Reason)
	w.logger.written.Add(1)
}

// flush writes the buffer to the output. If lines were dropped since the previous flush, it first adds a line with their
// number, so that the gap is visible in the log itself.
func (w *writer) flush() {
	dropped := w.logger.dropped.Value()
	if dropped > w.reportedDropped {
		w.lineTime = w.logger.clock.Now()
		w.formatted.Warn("Overflow", "Subject", "log", "Dropped", strconv.FormatInt(dropped-w.reportedDropped, 10))
		w.reportedDropped = dropped
	}
	if err := w.buffered.Flush(); err != nil {
		w.logger.failed.Add(1)
	}
}

// errorCountingOutput counts failed writes and hides them from bufio.Writer, which would write nothing more after an
// error.
type errorCountingOutput struct {
	out    io.Writer
	failed *expvar.Int
}

// Write writes the lines to the output and always reports success.
func (o *errorCountingOutput) Write(lines []byte) (int, error) {
	if _, err := o.out.Write(lines); err != nil {
		o.failed.Add(1)
	}
	return len(lines), nil
}
