//go:build review2

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"time"
)

// entry is a line of the record.
type entry struct {
	// T is Unix time in milliseconds.
	T int64 `json:"t"`
	// Who is the process or the client that the line is about, and Life its lifetime.
	Who    string `json:"who"`
	Life   string `json:"life,omitempty"`
	What   string `json:"what"`
	Task   string `json:"task,omitempty"`
	Run    int    `json:"run,omitempty"`
	Detail string `json:"detail,omitempty"`
}

// recorder appends lines to the record, which several processes write.
type recorder struct{ file *os.File }

func newRecorder(path string) *recorder {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		panic(err)
	}
	return &recorder{file}
}

func (r *recorder) write(e entry) {
	e.T = time.Now().UnixMilli()
	raw, _ := json.Marshal(e)
	_, _ = r.file.Write(append(raw, '\n'))
}

// readRecord returns the lines of a record.
func readRecord(path string) []entry {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil
	}
	var entries []entry
	for scanner := bufio.NewScanner(bytes.NewReader(raw)); scanner.Scan(); {
		var e entry
		if json.Unmarshal(scanner.Bytes(), &e) == nil {
			entries = append(entries, e)
		}
	}
	return entries
}
