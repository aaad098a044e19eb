package daemon

import (
	"bytes"
	"expvar"

	"waxwing.example/croft/logs"
)

// maxLibraryLineBytes is the length to which a line that a library logs is truncated, in bytes.
const maxLibraryLineBytes = 200

// libraryLog is an output for the standard log package; it passes the lines that libraries print there to the entry's
// log. It truncates them at the first quotation mark, since net/http quotes the first bytes of an unexpected response on
// an idle connection, and response bodies must not get into the log.
type libraryLog struct {
	log   *logs.Logger
	lines *expvar.Int
}

// Write counts a line and logs its beginning, up to the first quotation mark.
func (l libraryLog) Write(line []byte) (int, error) {
	l.lines.Add(1)
	text, _, _ := bytes.Cut(line, []byte("\n"))
	text, _, _ = bytes.Cut(text, []byte(`"`))
	l.log.Warn("Library", "", string(text[:min(len(text), maxLibraryLineBytes)]))
	return len(line), nil
}
