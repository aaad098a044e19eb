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

// TestMeasure prints what control costs on real processes: go test -tags measure ./scen -run TestMeasure -v.
func TestMeasure(t *testing.T) {
	testscript.Run(t, params(t, "measure/*.txtar"))
}

// vars is what costs reads of an entry's variables.
type vars struct {
	Entry struct {
		Control struct {
			EventsReduced, ReduceMicros, ProcessorMillis, MemoryBytes float64
		}
		Peers, Platform struct{ BytesSent, BytesReceived float64 }
	}
}

// counts is what costs reads of the platform.
type counts struct{ Commits, Writes, Reads float64 }

// costsMain prints the mean costs of entries and of the table over a span.
func costsMain() {
	entries := flag.String("entries", "", "operators' addresses of entries, by comma")
	platform := flag.String("platform", "", "address of the platform")
	span := flag.Duration("for", 20*time.Second, "how long to measure")
	label := flag.String("label", "", "what is measured")
	flag.Parse()
	addresses := strings.Split(*entries, ",")
	before, table := readAll(addresses, *platform)
	time.Sleep(*span)
	after, later := readAll(addresses, *platform)
	seconds := span.Seconds()
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
		(later.Reads-table.Reads)/seconds, (later.Commits-table.Commits)/seconds, (later.Writes-table.Writes)/seconds)
	os.Exit(0)
}

func readAll(entries []string, platform string) ([]vars, counts) {
	all := make([]vars, len(entries))
	for i, e := range entries {
		read("http://"+e+"/debug/vars", &all[i])
	}
	var c counts
	read("http://"+platform+"/counts", &c)
	return all, c
}

func read(url string, into any) {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	exitOn(err)
	req.Header.Set("Authorization", "Bearer "+os.Getenv("TOKEN"))
	res, err := http.DefaultClient.Do(req)
	exitOn(err)
	defer res.Body.Close()
	exitOn(json.NewDecoder(res.Body).Decode(into))
}

// sizesMain prints a VM list of a size, and a configuration of pools for it, as JSON.
func sizesMain() {
	vms := flag.Int("vms", 50, "VMs of the list")
	pools := flag.Int("pools", 0, "pools of the configuration to print, zero for the list")
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
	exitOn(json.NewEncoder(os.Stdout).Encode(list))
	os.Exit(0)
}

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
	exitOn(json.NewEncoder(os.Stdout).Encode(map[string]any{"Reviewed": 0, "Who": "measure", "Config": c}))
	os.Exit(0)
}
