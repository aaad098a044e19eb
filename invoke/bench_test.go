package invoke_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/invoke"
)

// BenchmarkRun compares the client with plain requests of net/http.
func BenchmarkRun(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(invoke.HeaderAttempt, r.Header.Get(invoke.HeaderAttempt))
		_, _ = w.Write([]byte("ok"))
	}))
	defer server.Close()
	a := newAttempt(1)
	b.Run("bare", func(b *testing.B) {
		for b.Loop() {
			response, err := http.Post(server.URL+"/run/lens/read", "", bytes.NewReader(a.Request.Body))
			assert.NilError(b, err)
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}
	})
	b.Run("client", func(b *testing.B) {
		client := invoke.New(invoke.Options{})
		defer client.Close()
		endpoint := croft.Endpoint{Address: server.Listener.Addr().String()}
		for b.Loop() {
			_, err := client.Run(b.Context(), endpoint, a)
			assert.NilError(b, err)
		}
	})
}
