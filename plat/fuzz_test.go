package plat_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"waxwing.example/croft"
	"waxwing.example/croft/plat"
)

// saying returns a client of a platform that answers whatever is asked with these bytes, and the count of what was asked.
func saying(t *testing.T, answer []byte) (*plat.Client, *atomic.Int64) {
	t.Helper()
	asked := new(atomic.Int64)
	dial := func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
				asked.Add(1)
				_, _ = far.Write(answer)
			}
		}()
		return near, nil
	}
	c := plat.New(plat.Options{Address: "http://127.0.0.1:1", Dial: dial})
	t.Cleanup(c.Close)
	return c, asked
}

// FuzzAnswers gives the client whatever bytes a platform may send, and checks what it makes of them.
func FuzzAnswers(f *testing.F) {
	f.Fuzz(func(t *testing.T, answer []byte) {
		c, _ := saying(t, answer)
		row, err := c.Get(t.Context(), "claim/a")
		if err == nil && (row.Key != "claim/a" || row.Version == 0) {
			t.Fatalf("another row: %q gave %+v", answer, row)
		}
		rows, err := c.Scan(t.Context(), croft.Range{Prefix: "claim/", Since: 3, Limit: 9})
		for _, r := range rows {
			if err != nil || !strings.HasPrefix(r.Key, "claim/") || r.Version <= 3 {
				t.Fatalf("another scan: %q gave %+v, %v", answer, r, err)
			}
		}
		checkCommit(t, answer)
	})
}

func checkCommit(t *testing.T, answer []byte) {
	t.Helper()
	c, asked := saying(t, answer)
	version, err := c.Commit(t.Context(), []croft.Op{{Kind: croft.OpPut, Key: "claim/a"}})
	var conflict *croft.ConflictError
	var unavailable *croft.UnavailableError
	switch {
	case err == nil && version == 0:
		t.Fatalf("done without a version: %q", answer)
	case errors.As(err, &conflict):
		for _, r := range conflict.Rows {
			if r.Key != "claim/a" {
				t.Fatalf("conflict over another row: %q gave %+v", answer, r)
			}
		}
	case errors.As(err, &unavailable) && asked.Load() > 0 && !strings.Contains(strings.ToLower(string(answer)), "croft-outcome"):
		t.Fatalf("not done by the word of nobody: %q gave %v", answer, err)
	}
}
