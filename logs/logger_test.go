package logs

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/clock"
	"waxwing.example/croft/setup"
)

var _ croft.DecisionLog = (*Logger)(nil)

const testTime = 1_700_000_000_123

func TestCloseWritesEveryQueuedLine(t *testing.T) {
	const writers, each = 8, 500
	var out bytes.Buffer
	l := New(&out, setup.Log{Format: "json", Level: "info", Queue: writers * each}, clock.NewManual(testTime))
	var group sync.WaitGroup
	for i := range writers {
		group.Go(func() {
			for j := range each {
				l.Log(croft.Decision{Action: "Route", Subject: fmt.Sprintf("%d/%d", i, j), Choice: "vm1", Reason: "less loaded"})
			}
		})
	}
	group.Wait()
	l.Close()
	seen := map[string]bool{}
	for text := range strings.Lines(out.String()) {
		var got struct{ Time, Level, Msg, Subject, Choice, Reason string }
		assert.NilError(t, json.Unmarshal([]byte(text), &got))
		assert.Equal(t, got.Time+got.Level+got.Msg, "2023-11-14T22:13:20.123ZinfoRoute")
		seen[got.Subject] = true
	}
	assert.Equal(t, len(seen), writers*each)
	assert.Equal(t, l.Metrics().String(), `{"Dropped": 0, "Failed": 0, "Waiting": 0, "Written": 4000}`)
	l.Close()
}

// blockedOutput is an output whose writes block until release is closed; entered is closed when the first one begins.
type blockedOutput struct {
	bytes.Buffer
	entered chan struct{}
	release chan struct{}
	once    sync.Once
}

func (o *blockedOutput) Write(lines []byte) (int, error) {
	o.once.Do(func() { close(o.entered) })
	<-o.release
	return o.Buffer.Write(lines)
}

// A blocked output must not block calls of Log: lines beyond the queue's capacity are dropped, and the drop is reported
// once the output accepts lines again.
func TestBlockedOutputDropsAndReportsLinesWithoutBlocking(t *testing.T) {
	out := &blockedOutput{entered: make(chan struct{}), release: make(chan struct{})}
	l := New(out, setup.Log{Format: "text", Level: "info", Queue: 2}, clock.NewManual(testTime))
	l.Log(croft.Decision{Action: "Route", Subject: "first"})
	<-out.entered
	for i := range 5 {
		l.Log(croft.Decision{Action: "Route", Subject: fmt.Sprint(i)})
	}
	close(out.release)
	l.Close()
	l.Error("Stop", "late", "after the close")
	assert.Assert(t, strings.Contains(out.String(), "level=warn msg=Overflow Subject=log Dropped=3"), out.String())
	assert.Equal(t, l.Metrics().String(), `{"Dropped": 4, "Failed": 0, "Waiting": 0, "Written": 3}`)
}

func TestLinesBelowLevelAreNotWritten(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, setup.Log{Format: "text", Level: "warn", Queue: 4}, clock.NewManual(testTime))
	l.Log(croft.Decision{Action: "Route", Subject: "s"})
	l.Warn("Platform", "table", "no answer")
	l.Close()
	assert.Equal(t, out.String(), "time=2023-11-14T22:13:20.123Z level=warn msg=Platform Subject=table Choice= Reason=\"no answer\"\n")
}

// BenchmarkLogToFile logs batches of lines that fit into the queue and waits for each batch to be written, so that
// nothing is dropped. ns/op is the time per line until it is in the file, caller-ns/op the time spent in Log.
func BenchmarkLogToFile(b *testing.B) {
	const linesPerRound = 16384
	for _, format := range []string{"text", "json"} {
		b.Run(format, func(b *testing.B) {
			out, err := os.Create(b.TempDir() + "/log")
			assert.NilError(b, err)
			decision := croft.Decision{Action: "Route", Subject: "lens/reading", Choice: "vm-017", Reason: "less loaded of two"}
			var callerTime time.Duration
			b.ReportAllocs()
			for logged := 0; logged < b.N; logged += linesPerRound {
				l := New(out, setup.Log{Format: format, Level: "info", Queue: linesPerRound}, clock.NewSystem())
				start := time.Now()
				for range min(linesPerRound, b.N-logged) {
					l.Log(decision)
				}
				callerTime += time.Since(start)
				l.Close()
				assert.Equal(b, l.dropped.Value(), int64(0))
			}
			b.ReportMetric(float64(callerTime.Nanoseconds())/float64(b.N), "caller-ns/op")
			assert.NilError(b, out.Close())
		})
	}
}
