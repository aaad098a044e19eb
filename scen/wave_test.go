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

// waveMain asks for a maintenance of every VM of some pools, counts their executors meanwhile, and exits 1
// where a pool has fewer than promised or no VM was away.
func waveMain() {
	entry := flag.String("entry", "", "operators' address of an entry")
	pools := flag.String("pools", "", "POOL=LEAST, by comma")
	span := flag.Duration("for", time.Second, "how long to count once a VM is away")
	within := flag.Duration("within", 20*time.Second, "how long to wait for that, since a killed holder's lease lapses first")
	flag.Parse()
	client := ops.NewClient(*entry, os.Getenv("TOKEN"), 5*croft.Second)
	ctx := context.Background()
	least, serving := map[croft.PoolID]int{}, map[croft.PoolID]int{}
	for _, p := range strings.Split(*pools, ",") {
		name, count, _ := strings.Cut(p, "=")
		least[croft.PoolID(name)] = number(count)
	}
	vms, err := client.VMs(ctx)
	exitOn(err)
	for _, v := range vms {
		if _, asked := least[v.Pool]; asked {
			serving[v.Pool]++
			exitOn(client.Maintain(ctx, v.VM))
		}
	}
	whole := len(vms)
	polls, away := 0, 0
	end := time.Now().Add(*within)
	for ; time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		lines, err := client.Pools(ctx)
		exitOn(err)
		polls++
		for _, l := range lines {
			if away == 0 && l.Draining+l.Away > 0 {
				end = time.Now().Add(*span)
			}
			away = max(away, l.Draining+l.Away)
			if _, asked := least[l.Pool]; asked {
				serving[l.Pool] = min(serving[l.Pool], l.Serving, l.Endpoints)
			}
		}
	}
	vms, err = client.VMs(ctx)
	exitOn(err)
	done := 0
	for _, v := range vms {
		if v.Maintained > 0 {
			done++
		}
	}
	fmt.Printf("VMs %d, maintained %d, away at once %d, polls %d, least serving %v\n", whole, done, away, polls, serving)
	for pool, bound := range least {
		if serving[pool] < bound || away == 0 {
			os.Exit(1)
		}
	}
	os.Exit(0)
}
