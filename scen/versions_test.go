package scen

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"waxwing.example/croft"
	"waxwing.example/croft/ops"
)

// sampleInterval is the time between two status requests to an entry.
const sampleInterval = 25 * time.Millisecond

// sample is the status of the entry at an address. One is written whenever the process, version or readiness changes, and
// one without an address when the sampling ends.
type sample struct {
	Address string
	// Entry is empty if the address did not answer.
	Entry   croft.EntryID
	Version uint64
	Ready   bool
	Time    croft.Millis
}

// watcher polls entries and writes their changes to a file.
type watcher struct {
	token  string
	client http.Client
	mu     sync.Mutex
	out    *json.Encoder
}

// versionsMain records which configuration version is in force on each entry until SIGTERM. With -platform it checks a
// finished recording instead.
func versionsMain() {
	entries := flag.String("entries", "", "operators' addresses of the entries, separated by commas")
	token := flag.String("token", "", "operators' token")
	platform := flag.String("platform", "", "address of the platform's stand-in; checks FILE instead of writing it")
	within := flag.Duration("within", 8*time.Second, "longest time from a version's acceptance until it is in force")
	flag.Parse()
	if *platform != "" {
		reportAndExit(flag.Arg(0), *platform, *within)
	}
	file, err := os.Create(flag.Arg(0))
	exitOnError(err)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	w := &watcher{token: *token, client: http.Client{Timeout: time.Second}, out: json.NewEncoder(file)}
	var running sync.WaitGroup
	for _, a := range strings.Split(*entries, ",") {
		running.Go(func() { w.watch(ctx, a) })
	}
	running.Wait()
	w.write(sample{Time: now()})
	exitOnError(file.Close())
	os.Exit(0)
}

func now() croft.Millis { return croft.Millis(time.Now().UnixMilli()) }

// watch polls an entry until the context ends and writes each change.
func (w *watcher) watch(ctx context.Context, address string) {
	var last sample
	for ctx.Err() == nil {
		s := w.poll(address)
		if s.Entry != last.Entry || s.Version != last.Version || s.Ready != last.Ready {
			w.write(s)
			last = s
		}
		time.Sleep(sampleInterval)
	}
}

// poll returns the current status of an entry, with an empty Entry if it did not answer.
func (w *watcher) poll(address string) sample {
	s := sample{Address: address, Time: now()}
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/v1/status", nil)
	exitOnError(err)
	req.Header.Set("Authorization", "Bearer "+w.token)
	res, err := w.client.Do(req)
	if err != nil {
		return s
	}
	defer res.Body.Close()
	var status ops.Status
	if res.StatusCode != http.StatusOK || json.NewDecoder(res.Body).Decode(&status) != nil {
		return s
	}
	s.Entry, s.Version, s.Ready, s.Time = status.Entry, status.Version, status.Ready, now()
	return s
}

func (w *watcher) write(s sample) {
	w.mu.Lock()
	defer w.mu.Unlock()
	exitOnError(w.out.Encode(s))
}

// reportAndExit checks a recording, prints the result, and exits with 1 if a version reverted or was in force too late.
func reportAndExit(name, platform string, limit time.Duration) {
	o := readObservations(name)
	reverts := findReverts(o.byAddress)
	late, delays := o.findLate(fetchAcceptTimes(platform), croft.Millis(limit.Milliseconds()))
	fmt.Printf("entries %d processes %d falls %d late %d\n",
		len(o.byAddress), len(o.byProcess), len(reverts), len(late))
	if n := len(delays); n > 0 {
		fmt.Printf("delays until in force: median %d ms slowest %d ms\n", delays[n/2], delays[n-1])
	}
	for _, line := range append(reverts, late...) {
		fmt.Println("  " + line)
	}
	if len(reverts)+len(late) > 0 {
		os.Exit(1)
	}
	os.Exit(0)
}
