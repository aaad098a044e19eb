//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, with the milliseconds since the start of the case.
type recorder struct {
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	began time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{out: bufio.NewWriter(file), file: file, began: time.Now()}, nil
}

func (r *recorder) now() int64 { return time.Since(r.began).Milliseconds() }

// note writes one line to the record.
func (r *recorder) note(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%7d %-9s %s\n", r.now(), who, fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *recorder) say(format string, args ...any) {
	r.note("case", format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// countingReader counts the bytes that were read.
type countingReader struct {
	r io.Reader
	n int
}

func (c *countingReader) Read(b []byte) (int, error) {
	n, err := c.r.Read(b)
	c.n += n
	return n, err
}
