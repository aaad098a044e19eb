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

// newRawClient returns a client of a server that responds to any request with these bytes, and the number of requests.
func newRawClient(t *testing.T, response []byte) (*plat.Client, *atomic.Int64) {
	t.Helper()
	requestCount := new(atomic.Int64)
	dial := func(context.Context, string, string) (net.Conn, error) {
		clientSide, serverSide := net.Pipe()
		go func() {
			defer serverSide.Close()
			if _, err := http.ReadRequest(bufio.NewReader(serverSide)); err == nil {
				requestCount.Add(1)
				_, _ = serverSide.Write(response)
			}
		}()
		return clientSide, nil
	}
	c := plat.New(plat.Options{Address: "http://127.0.0.1:1", Dial: dial})
	t.Cleanup(c.Close)
	return c, requestCount
}

// FuzzAnswers checks that no bytes from the platform make the client return rows that were not requested, or report
// a commit as done or not done although the response does not say so.
func FuzzAnswers(f *testing.F) {
	f.Fuzz(func(t *testing.T, answer []byte) {
		c, _ := newRawClient(t, answer)
		row, err := c.Get(t.Context(), "claim/a")
		if err == nil && (row.Key != "claim/a" || row.Version == 0) {
			t.Fatalf("wrong row: %q gave %+v", answer, row)
		}
		rows, err := c.Scan(t.Context(), croft.Range{Prefix: "claim/", Since: 3, Limit: 9})
		for _, r := range rows {
			if err != nil || !strings.HasPrefix(r.Key, "claim/") || r.Version <= 3 {
				t.Fatalf("wrong scan: %q gave %+v, %v", answer, r, err)
			}
		}
		checkCommit(t, answer)
	})
}

// checkCommit checks the outcome that Commit reports for a raw response.
func checkCommit(t *testing.T, answer []byte) {
	t.Helper()
	c, requestCount := newRawClient(t, answer)
	version, err := c.Commit(t.Context(), []croft.Op{{Kind: croft.OpPut, Key: "claim/a"}})
	var conflict *croft.ConflictError
	var unavailable *croft.UnavailableError
	switch {
	case err == nil && version == 0:
		t.Fatalf("committed without a version: %q", answer)
	case errors.As(err, &conflict):
		for _, r := range conflict.Rows {
			if r.Key != "claim/a" {
				t.Fatalf("conflict over a row that was not requested: %q gave %+v", answer, r)
			}
		}
	case errors.As(err, &unavailable) && requestCount.Load() > 0 && !strings.Contains(strings.ToLower(string(answer)), "croft-outcome"):
		t.Fatalf("reported as not done without the outcome header: %q gave %v", answer, err)
	}
}
