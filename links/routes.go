package links

import (
	"encoding/json"
	"net/http"
	"net/netip"
)

// PathCuts is the path that Handler serves.
const PathCuts = "/cuts"

// maxCutsBytes bounds the body of a request, in bytes.
const maxCutsBytes = 64 << 10

// CutOrder is the body of requests to Handler and of its responses.
type CutOrder struct {
	// Prefixes are the prefixes that the network is partitioned from; an empty list heals it.
	Prefixes []netip.Prefix
}

// Handler returns an HTTP interface for tests: GET returns the partitioned prefixes, and POST replaces them.
func (n *Network) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathCuts, func(w http.ResponseWriter, _ *http.Request) { n.writeCuts(w) })
	mux.HandleFunc("POST "+PathCuts, func(w http.ResponseWriter, r *http.Request) {
		var order CutOrder
		d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCutsBytes))
		d.DisallowUnknownFields()
		if err := d.Decode(&order); err != nil {
			http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
			return
		}
		n.SetPartition(order.Prefixes...)
		n.writeCuts(w)
	})
	return mux
}

// writeCuts answers a request with the partitioned prefixes.
func (n *Network) writeCuts(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	// Writing fails only if the caller has disconnected.
	_ = json.NewEncoder(w).Encode(CutOrder{Prefixes: n.Partitioned()})
}
