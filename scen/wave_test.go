package scen

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"waxwing.example/croft"
	"waxwing.example/croft/ops"
)

// waveMain requests maintenance of every VM in the given pools, polls the pools meanwhile, and exits with 1 if a pool ever
// had fewer serving VMs or endpoints than required, or if no VM was drained at all.
func waveMain() {
	entry := flag.String("entry", "", "operators' address of an entry")
	pools := flag.String("pools", "", "POOL=COUNT, least number of serving VMs, separated by commas")
	duration := flag.Duration("for", time.Second, "how long to poll once a VM is draining or away")
	within := flag.Duration("within", 20*time.Second, "how long to wait for that; the lease of a killed planner must lapse first")
	flag.Parse()
	client := ops.NewClient(*entry, os.Getenv("TOKEN"), 5*croft.Second)
	ctx := context.Background()
	minServing, lowestServing := map[croft.PoolID]int{}, map[croft.PoolID]int{}
	for _, p := range strings.Split(*pools, ",") {
		name, count, _ := strings.Cut(p, "=")
		minServing[croft.PoolID(name)] = parseInt(count)
	}
	vms, err := client.VMs(ctx)
	exitOnError(err)
	for _, v := range vms {
		if _, selected := minServing[v.Pool]; selected {
			lowestServing[v.Pool]++
			exitOnError(client.Maintain(ctx, v.VM))
		}
	}
	total := len(vms)
	polls, maxAway := 0, 0
	end := time.Now().Add(*within)
	for ; time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		lines, err := client.Pools(ctx)
		exitOnError(err)
		polls++
		for _, l := range lines {
			if maxAway == 0 && l.Draining+l.Away > 0 {
				end = time.Now().Add(*duration)
			}
			maxAway = max(maxAway, l.Draining+l.Away)
			if _, selected := minServing[l.Pool]; selected {
				lowestServing[l.Pool] = min(lowestServing[l.Pool], l.Serving, l.Endpoints)
			}
		}
	}
	vms, err = client.VMs(ctx)
	exitOnError(err)
	maintained := 0
	for _, v := range vms {
		if v.Maintained > 0 {
			maintained++
		}
	}
	fmt.Printf("VMs %d, maintained %d, away at once %d, polls %d, least serving %v\n", total, maintained, maxAway, polls, lowestServing)
	for pool, least := range minServing {
		if lowestServing[pool] < least || maxAway == 0 {
			os.Exit(1)
		}
	}
	os.Exit(0)
}
