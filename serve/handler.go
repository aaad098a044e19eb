package serve

import (
	"net/http"

	"waxwing.example/croft"
	"waxwing.example/croft/inflow"
)

// Requests returns a handler that reports its requests to the gate of their connections. Another handler serves them, and reads the
// bodies of POST requests alone, by inflow.Conn.ReadBody. A body that is not read must arrive within a timeout.
func Requests(next http.Handler, bodyTimeout croft.Millis) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := inflow.FromContext(r.Context())
		hasBody := r.ContentLength != 0
		readsBody := hasBody && r.Method == http.MethodPost
		if !conn.Begin(readsBody) {
			panic(http.ErrAbortHandler)
		}
		if hasBody {
			// Until the handler sets its own, and for bodies that nobody reads: net/http reads them before it sends the response.
			conn.SetBodyTimeout(bodyTimeout)
		}
		next.ServeHTTP(w, r)
		conn.Handled(hasBody && !readsBody)
	})
}

// Probes returns a handler that reports its requests to the gate of their connections; another handler serves them and reads no body.
func Probes(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := inflow.FromContext(r.Context())
		if !conn.Begin(false) {
			panic(http.ErrAbortHandler)
		}
		if r.ContentLength != 0 {
			// The server may read the body already when a long response of the handler begins.
			conn.Handled(true)
		}
		next.ServeHTTP(w, r)
	})
}
