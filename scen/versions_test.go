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

// samplesGap is the time between two looks at an entry.
const samplesGap = 25 * time.Millisecond

// sample is a change of what an entry has in force, as seen from outside.
type sample struct {
	Address string
	// Entry is empty where the address did not answer.
	Entry   croft.EntryID
	Version uint64
	Ready   bool
	Time    croft.Millis
}

// watcher writes the changes of entries to a file.
type watcher struct {
	token  string
	client http.Client
	mu     sync.Mutex
	out    *json.Encoder
}

// versionsMain watches which version is in force on each entry until SIGTERM, or judges what was seen.
func versionsMain() {
	entries := flag.String("entries", "", "operators' addresses of the entries, by comma")
	token := flag.String("token", "", "operators' token")
	platform := flag.String("platform", "", "address of the platform's stand-in; judges FILE instead of writing it")
	within := flag.Duration("within", 8*time.Second, "longest span from acceptance to in force")
	flag.Parse()
	if *platform != "" {
		judge(flag.Arg(0), *platform, *within)
	}
	file, err := os.Create(flag.Arg(0))
	exitOn(err)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	w := &watcher{token: *token, client: http.Client{Timeout: time.Second}, out: json.NewEncoder(file)}
	var running sync.WaitGroup
	for _, a := range strings.Split(*entries, ",") {
		running.Go(func() { w.watch(ctx, a) })
	}
	running.Wait()
	w.write(sample{Time: now()})
	exitOn(file.Close())
	os.Exit(0)
}

func now() croft.Millis { return croft.Millis(time.Now().UnixMilli()) }

func (w *watcher) watch(ctx context.Context, address string) {
	var last sample
	for ctx.Err() == nil {
		s := w.look(address)
		if s.Entry != last.Entry || s.Version != last.Version || s.Ready != last.Ready {
			w.write(s)
			last = s
		}
		time.Sleep(samplesGap)
	}
}

func (w *watcher) look(address string) sample {
	s := sample{Address: address, Time: now()}
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/v1/status", nil)
	exitOn(err)
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
	exitOn(w.out.Encode(s))
}

// judge prints what was seen and exits 1 where a version fell or was in force too late.
func judge(name, platform string, within time.Duration) {
	seen := readSamples(name)
	falls := fallen(seen.byAddress)
	late, spans := seen.late(acceptances(platform), croft.Millis(within.Milliseconds()))
	fmt.Printf("entries %d processes %d falls %d late %d\n",
		len(seen.byAddress), len(seen.byProcess), len(falls), len(late))
	if n := len(spans); n > 0 {
		fmt.Printf("spans to in force: median %d ms slowest %d ms\n", spans[n/2], spans[n-1])
	}
	for _, line := range append(falls, late...) {
		fmt.Println("  " + line)
	}
	if len(falls)+len(late) > 0 {
		os.Exit(1)
	}
	os.Exit(0)
}
