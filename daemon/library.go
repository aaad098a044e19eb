package daemon

import (
	"bytes"
	"expvar"

	"waxwing.example/croft/logs"
)

// maxLibraryLine bounds what is kept of a library's line, in bytes.
const maxLibraryLine = 200

// libraryLog takes what libraries print through the standard log, and keeps the bodies of answers out of ours:
// net/http quotes the bytes of a late answer on an idle connection.
type libraryLog struct {
	log   *logs.Logger
	lines *expvar.Int
}

// Write counts a line and logs its beginning, up to the first quoted text.
func (l libraryLog) Write(line []byte) (int, error) {
	l.lines.Add(1)
	kept, _, _ := bytes.Cut(line, []byte("\n"))
	kept, _, _ = bytes.Cut(kept, []byte(`"`))
	l.log.Warn("Library", "", string(kept[:min(len(kept), maxLibraryLine)]))
	return len(line), nil
}
