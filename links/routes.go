package links

import (
	"encoding/json"
	"net/http"
	"net/netip"
)

// PathCuts is where Handler answers.
const PathCuts = "/cuts"

// maxCuts bounds the body of a request, in bytes.
const maxCuts = 64 << 10

// CutOrder is the body of requests and answers of Handler.
type CutOrder struct {
	// Prefixes are what the network is cut off from; none of them heals it.
	Prefixes []netip.Prefix
}

// Handler answers GET with the cuts and POST by replacing them, for tests.
func (n *Network) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathCuts, func(w http.ResponseWriter, _ *http.Request) { n.answer(w) })
	mux.HandleFunc("POST "+PathCuts, func(w http.ResponseWriter, r *http.Request) {
		var order CutOrder
		d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCuts))
		d.DisallowUnknownFields()
		if err := d.Decode(&order); err != nil {
			http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
			return
		}
		n.Replace(order.Prefixes...)
		n.answer(w)
	})
	return mux
}

func (n *Network) answer(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	// Whether the caller still listens is its own matter.
	_ = json.NewEncoder(w).Encode(CutOrder{Prefixes: n.Cuts()})
}
