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

// bufferBytes is how much is gathered before one write to the output.
const bufferBytes = 64 << 10

// Logger is a croft.DecisionLog with a bounded queue and one writer; a line that finds the queue full is dropped and counted.
type Logger struct {
	clock croft.Clock
	least log.Level
	queue chan line
	done  chan struct{}

	mu     sync.RWMutex
	closed bool

	written expvar.Int
	dropped expvar.Int
	failed  expvar.Int
}

type line struct {
	level    log.Level
	at       croft.Millis
	decision croft.Decision
}

// New starts a logger on an output, which it leaves open.
func New(out io.Writer, settings setup.Log, clock croft.Clock) *Logger {
	least, err := log.ParseLevel(settings.Level)
	if err != nil {
		least = log.InfoLevel
	}
	l := &Logger{
		clock: clock,
		least: least,
		queue: make(chan line, max(settings.Queue, 1)),
		done:  make(chan struct{}),
	}
	go l.write(out, settings.Format)
	return l
}

// Log queues a decision at level info without waiting.
func (l *Logger) Log(decision croft.Decision) { l.put(log.InfoLevel, decision) }

// Warn queues a line about a subject at level warn without waiting.
func (l *Logger) Warn(action, subject, reason string) {
	l.put(log.WarnLevel, croft.Decision{Action: action, Subject: subject, Reason: reason})
}

// Error queues a line about a subject at level error without waiting.
func (l *Logger) Error(action, subject, reason string) {
	l.put(log.ErrorLevel, croft.Decision{Action: action, Subject: subject, Reason: reason})
}

func (l *Logger) put(level log.Level, decision croft.Decision) {
	if level < l.least {
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

// Close writes what is queued and returns once the output has it; later lines are dropped and counted.
func (l *Logger) Close() {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.queue)
	}
	l.mu.Unlock()
	<-l.done
}

// Metrics returns the counts of lines Written, Dropped for want of room and Failed to be written, and of those Waiting.
func (l *Logger) Metrics() expvar.Var {
	m := new(expvar.Map)
	m.Set("Written", &l.written)
	m.Set("Dropped", &l.dropped)
	m.Set("Failed", &l.failed)
	m.Set("Waiting", expvar.Func(func() any { return len(l.queue) }))
	return m
}

func (l *Logger) write(out io.Writer, format string) {
	defer close(l.done)
	w := &writer{logger: l, buffered: bufio.NewWriterSize(&sink{out: out, failed: &l.failed}, bufferBytes)}
	w.formatted = log.NewWithOptions(w.buffered, log.Options{
		Level:           l.least,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
		TimeFunction:    func(time.Time) time.Time { return time.UnixMilli(int64(w.at)).UTC() },
		Formatter:       formatter(format),
	})
	told := int64(0)
	for entry := range l.queue {
		w.line(entry)
		if len(l.queue) > 0 {
			continue
		}
		if dropped := l.dropped.Value(); dropped > told {
			w.formatted.Log(log.WarnLevel, "Log", "Subject", "queue", "Choice", "Dropped", "Reason",
				strconv.FormatInt(dropped-told, 10)+" lines were left out since the queue was full")
			told = dropped
		}
		w.flush()
	}
	w.flush()
}

// formatter takes logfmt for text, since the library's styled text costs several times as much a line.
func formatter(format string) log.Formatter {
	if format == "json" {
		return log.JSONFormatter
	}
	return log.LogfmtFormatter
}

// writer belongs to the logger's own goroutine.
type writer struct {
	logger    *Logger
	buffered  *bufio.Writer
	formatted *log.Logger
	// at is the instant of the line being formatted.
	at croft.Millis
	// told is how many dropped lines the log has told of.
	told int64
}

func (w *writer) line(entry line) {
	w.at = entry.at
	d := entry.decision
	w.formatted.Log(entry.level, d.Action, "Subject", d.Subject, "Choice", d.Choice, "Reason", d.Reason)
	w.logger.written.Add(1)
}

// flush tells of dropped lines too, so that a gap in the log is seen in the log.
func (w *writer) flush() {
	dropped := w.logger.dropped.Value()
	if dropped > w.told {
		w.at = w.logger.clock.Now()
		w.formatted.Warn("Overflow", "Subject", "log", "Dropped", strconv.FormatInt(dropped-w.told, 10))
		w.told = dropped
	}
	if err := w.buffered.Flush(); err != nil {
		w.logger.failed.Add(1)
	}
}

// sink counts failed writes and goes on, since a broken output must not end the log.
type sink struct {
	out    io.Writer
	failed *expvar.Int
}

// Write passes the lines on.
func (s *sink) Write(lines []byte) (int, error) {
	if _, err := s.out.Write(lines); err != nil {
		s.failed.Add(1)
	}
	return len(lines), nil
}
