//go:build measure

package scen

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"waxwing.example/croft"
)

func init() {
	programs["costs"] = costsMain
	programs["sizes"] = sizesMain
}

// TestMeasure prints the cost of the control plane without traffic, measured on real processes:
//
//	go test -tags measure ./scen -run TestMeasure -v
func TestMeasure(t *testing.T) {
	testscript.Run(t, scriptParams(t, "measure/*.txtar"))
}

// entryMetrics are the metrics that costsMain reads from an entry's /debug/vars.
type entryMetrics struct {
	Entry struct {
		Control struct {
			EventsReduced, ReduceMicros, ProcessorMillis, MemoryBytes float64
		}
		Peers, Platform struct{ BytesSent, BytesReceived float64 }
	}
}

// platformCounts are the counters that costsMain reads from the platform's stand-in.
type platformCounts struct{ Commits, Writes, Reads float64 }

// costsMain prints the mean load of entries and of the platform's table over a duration.
func costsMain() {
	entries := flag.String("entries", "", "operators' addresses of entries, separated by commas")
	platform := flag.String("platform", "", "address of the platform")
	duration := flag.Duration("for", 20*time.Second, "how long to measure")
	label := flag.String("label", "", "text at the start of each line")
	flag.Parse()
	addresses := strings.Split(*entries, ",")
	before, tableBefore := fetchAll(addresses, *platform)
	time.Sleep(*duration)
	after, tableAfter := fetchAll(addresses, *platform)
	seconds := duration.Seconds()
	for i := range addresses {
		a, b := after[i].Entry, before[i].Entry
		fmt.Printf("%s entry %d: processor %.2f %% of a core, reducer %.3f %%, events %.1f/s, memory %.1f MB, "+
			"between entries %.0f B/s, platform %.0f B/s\n",
			*label, i+1,
			(a.Control.ProcessorMillis-b.Control.ProcessorMillis)/seconds/10,
			(a.Control.ReduceMicros-b.Control.ReduceMicros)/seconds/10_000,
			(a.Control.EventsReduced-b.Control.EventsReduced)/seconds,
			a.Control.MemoryBytes/(1<<20),
			(a.Peers.BytesSent+a.Peers.BytesReceived-b.Peers.BytesSent-b.Peers.BytesReceived)/seconds,
			(a.Platform.BytesSent+a.Platform.BytesReceived-b.Platform.BytesSent-b.Platform.BytesReceived)/seconds)
	}
	fmt.Printf("%s table: %.1f reads/s, %.1f commits/s, %.1f rows written/s\n", *label,
		(tableAfter.Reads-tableBefore.Reads)/seconds, (tableAfter.Commits-tableBefore.Commits)/seconds,
		(tableAfter.Writes-tableBefore.Writes)/seconds)
	os.Exit(0)
}

// fetchAll returns the metrics of all entries and the platform's counters.
func fetchAll(entries []string, platform string) ([]entryMetrics, platformCounts) {
	all := make([]entryMetrics, len(entries))
	for i, e := range entries {
		fetchJSON("http://"+e+"/debug/vars", &all[i])
	}
	var c platformCounts
	fetchJSON("http://"+platform+"/counts", &c)
	return all, c
}

func fetchJSON(url string, into any) {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	exitOnError(err)
	req.Header.Set("Authorization", "Bearer "+os.Getenv("TOKEN"))
	res, err := http.DefaultClient.Do(req)
	exitOnError(err)
	defer res.Body.Close()
	exitOnError(json.NewDecoder(res.Body).Decode(into))
}

// sizesMain prints a list of VMs as JSON or, with -pools, a configuration of pools that share that many VMs.
func sizesMain() {
	vms := flag.Int("vms", 50, "number of VMs")
	pools := flag.Int("pools", 0, "number of pools in the configuration to print, zero to print the list of VMs")
	flag.Parse()
	if *pools > 0 {
		printPools(*vms, *pools)
	}
	list := make([]croft.VM, 0, *vms)
	for i := range *vms {
		list = append(list, croft.VM{
			ID: croft.VMID(fmt.Sprintf("vm%05d", i)), DataCentre: croft.DataCentre([]string{"a", "b", "c", "d"}[i%4]),
			Rack: croft.RackID(fmt.Sprintf("r%04d", i/4)), Address: fmt.Sprintf("127.9.%d.%d:8000", i/250, i%250+1),
			Boot: 1, Status: croft.VMLive, Room: croft.Resources{MilliCores: 60_000, MemoryMB: 250_000},
		})
	}
	exitOnError(json.NewEncoder(os.Stdout).Encode(list))
	os.Exit(0)
}

// printPools prints the request that accepts a configuration in which the pools share the VMs equally.
func printPools(vms, pools int) {
	c := croft.Config{Teams: []croft.Team{{ID: "team", Quota: croft.Resources{MilliCores: 1}}}}
	for i := range pools {
		id := fmt.Sprintf("pool%02d", i)
		c.Pools = append(c.Pools, croft.Pool{
			ID: croft.PoolID(id), Promise: 990_000, MinServing: vms / pools / 2, Size: vms / pools, WaveSize: 1,
		})
		c.Services = append(c.Services, croft.Service{ID: croft.ServiceID(id), Team: "team", Pool: croft.PoolID(id),
			Kinds: []croft.Kind{
				{ID: "now", FloorShare: 300, Deadline: 2000, Repeatable: true, MeanRate: 1000},
				{ID: "book", FloorShare: 300, Deadline: 2000, MeanRate: 1000},
			}})
	}
	exitOnError(json.NewEncoder(os.Stdout).Encode(map[string]any{"Reviewed": 0, "Who": "measure", "Config": c}))
	os.Exit(0)
}
