//go:build review2

package main

import (
	"encoding/json"
	"net/http"
	"sync"
)

// amount is an amount of resources on the wire.
type amount struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"mem_mb"`
	GPU   int64 `json:"gpu"`
}

// vm is an entry of the list of machines.
type vm struct {
	Machine  string   `json:"machine"`
	Pool     string   `json:"pool"`
	State    string   `json:"state"`
	Zone     string   `json:"zone"`
	Labels   []string `json:"labels"`
	Capacity amount   `json:"capacity"`
	ID       string   `json:"id"`
}

// cloud is the platform's VM API. Its machines are set by the driver; it accepts no orders, since no case needs any.
type cloud struct {
	mu  sync.Mutex
	vms []vm
}

func (c *cloud) register(mux *http.ServeMux) {
	mux.HandleFunc("GET /-/machines", func(w http.ResponseWriter, _ *http.Request) {
		c.mu.Lock()
		defer c.mu.Unlock()
		respond(w, http.StatusOK, map[string]any{"machines": c.vms, "next_token": nil})
	})
	busy := func(w http.ResponseWriter, _ *http.Request) {
		respond(w, http.StatusConflict, map[string]any{"reason": "busy"})
	}
	mux.HandleFunc("POST /-/machine-move", busy)
	mux.HandleFunc("POST /-/machine-upkeep", busy)
	mux.HandleFunc("PUT /machines", func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		defer c.mu.Unlock()
		_ = json.NewDecoder(r.Body).Decode(&c.vms)
	})
}

// servePlatform serves the store and the VM API at two addresses.
func servePlatform(storeAddress, cloudAddress string) error {
	storeMux, cloudMux := http.NewServeMux(), http.NewServeMux()
	newStore().register(storeMux)
	(&cloud{}).register(cloudMux)
	errs := make(chan error, 2)
	go func() { errs <- http.ListenAndServe(storeAddress, storeMux) }()
	go func() { errs <- http.ListenAndServe(cloudAddress, cloudMux) }()
	return <-errs
}
