package scen

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"waxwing.example/croft/fakes"
	"waxwing.example/croft/invoke"
)

// record is what a caller saw of one request.
type record struct {
	Key     string
	Class   string
	Entry   string
	Outcome string
	Status  int
	// Whole says that an answer carried the key and the digest of its own request.
	Whole  bool
	Sent   int64
	Ended  int64
	Detail string `json:",omitempty"`
}

// outcomeCut marks a request that ended without an answer of the interface.
const outcomeCut = "Cut"

// stream is a class of requests sent at an even rate between two instants of the load.
type stream struct {
	class string
	rate  int
	from  time.Duration
	until time.Duration
}

type loader struct {
	entries []string
	client  *http.Client
	seed    uint64
	again   int
	// later is the delay after which requests sent again are sent once more, zero for never.
	later time.Duration
	// balancer says that a request whose connection broke is sent again at once through another entry.
	balancer bool
	// health is nil where entries are chosen whether they are ready or not.
	health *health
	mu     sync.Mutex
	out    *json.Encoder
}

// loadMain sends streams of requests to entries at even rates and records what came of each.
func loadMain() {
	entries := flag.String("entries", "", "callers' addresses of the entries, by comma")
	streams := flag.String("streams", "", "class:rate[:fromMs:untilMs], by comma")
	span := flag.Duration("for", time.Second, "how long to send")
	out := flag.String("out", "load.jsonl", "file for the records")
	seed := flag.Uint64("seed", 1, "seed of the choices and part of the keys")
	again := flag.Int("again", 0, "percent of requests sent again at once through another entry")
	later := flag.Duration("later", 0, "how long after its first sending such a request is sent a third time")
	balancer := flag.Bool("balancer", false, "send again at once through another entry where the connection broke")
	check := flag.Bool("check", false, "send only through entries whose readiness is checked, as a balancer does")
	flag.Parse()
	file, err := os.Create(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	l := &loader{
		entries: strings.Split(*entries, ","),
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}, Timeout: 30 * time.Second},
		seed:    *seed,
		again:   *again,
		later:   *later,
		out:     json.NewEncoder(file),

		balancer: *balancer,
	}
	if *check {
		l.health = watch(l.entries)
	}
	l.run(parseStreams(*streams, *span))
	if err := file.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(0)
}

func parseStreams(text string, span time.Duration) []stream {
	var streams []stream
	for _, s := range strings.Split(text, ",") {
		fields := strings.Split(s, ":")
		st := stream{class: fields[0], rate: number(fields[1]), until: span}
		if len(fields) > 2 {
			st.from = time.Duration(number(fields[2])) * time.Millisecond
			st.until = time.Duration(number(fields[3])) * time.Millisecond
		}
		streams = append(streams, st)
	}
	return streams
}

func number(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		fmt.Fprintln(os.Stderr, "load: not a number:", text)
		os.Exit(2)
	}
	return n
}

func (l *loader) run(streams []stream) {
	var running sync.WaitGroup
	for i, s := range streams {
		running.Go(func() { l.send(s, i) })
	}
	running.Wait()
}

func (l *loader) send(s stream, index int) {
	chance := rand.New(rand.NewPCG(l.seed, uint64(index)))
	var running sync.WaitGroup
	began := time.Now()
	total := int(float64(s.rate) * (s.until - s.from).Seconds())
	for n := range total {
		due := began.Add(s.from + time.Duration(n)*time.Second/time.Duration(s.rate))
		time.Sleep(time.Until(due))
		key := fmt.Sprintf("%d-%d-%d", l.seed, index, n)
		entry := chance.IntN(len(l.entries))
		twice := chance.IntN(100) < l.again
		running.Go(func() { l.ask(s.class, key, entry) })
		if !twice {
			continue
		}
		running.Go(func() { l.ask(s.class, key, entry+1) })
		if l.later > 0 {
			running.Go(func() {
				time.Sleep(l.later)
				l.ask(s.class, key, entry+2)
			})
		}
	}
	running.Wait()
}

// ask sends a request through the entry in that place, and through the next where the balancer would.
func (l *loader) ask(class, key string, place int) {
	r := l.askOnce(class, key, l.health.choose(l.entries, place))
	if l.balancer && r.Outcome == outcomeCut {
		l.askOnce(class, key, l.entries[(place+1)%len(l.entries)])
	}
}

func (l *loader) askOnce(class, key, entry string) record {
	r := record{Key: key, Class: class, Entry: entry, Sent: time.Now().UnixMilli()}
	l.fill(&r, bodyOf(key))
	r.Ended = time.Now().UnixMilli()
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.out.Encode(r)
	return r
}

// bodyOf gives each key a body of its own, long enough to be cut in the middle.
func bodyOf(key string) []byte { return bytes.Repeat([]byte(key+";"), 40) }

func (l *loader) fill(r *record, body []byte) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost,
		"http://"+r.Entry+"/v1/"+r.Class, bytes.NewReader(body))
	if err != nil {
		r.Outcome, r.Detail = outcomeCut, err.Error()
		return
	}
	// The transport must not send a request again by itself.
	req.GetBody = nil
	req.Header["Idempotency-Key"] = []string{r.Key}
	res, err := l.client.Do(req)
	if err != nil {
		r.Outcome, r.Detail = outcomeCut, err.Error()
		return
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		r.Outcome, r.Detail = outcomeCut, err.Error()
		return
	}
	r.Status = res.StatusCode
	r.Outcome = res.Header.Get("Croft-Outcome")
	if r.Outcome == "" {
		r.Outcome = outcomeCut
	}
	if r.Outcome != "Answered" {
		r.Detail = string(answer)
		return
	}
	r.Whole = answersOwn(answer, r.Key, body)
	if !r.Whole {
		r.Detail = string(answer)
	}
}

// answersOwn reports whether an answer carries the key and the digest of its own request.
func answersOwn(answer []byte, key string, body []byte) bool {
	var a fakes.Answered
	if err := json.Unmarshal(answer, &a); err != nil {
		return false
	}
	return a.Key == key && a.Digest == invoke.Digest(body)
}
