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

// record is one request as its caller saw it, a line of the output file.
type record struct {
	Key     string
	Class   string
	Entry   string
	Outcome string
	Status  int
	// Whole reports whether the answer carries the key and the digest of this request.
	Whole bool
	// Sent and Ended are Unix milliseconds.
	Sent   int64
	Ended  int64
	Detail string `json:",omitempty"`
}

// outcomeIncomplete is the outcome of a request without a complete response of an entry, such as a broken connection.
const outcomeIncomplete = "Cut"

// stream is a series of requests of one class, sent at a constant rate.
type stream struct {
	class string
	rate  int           // requests per second
	from  time.Duration // from and until are offsets from the start of the load
	until time.Duration
}

// loader sends requests to entries and records their outcomes.
type loader struct {
	entries []string
	client  *http.Client
	seed    uint64
	// resendPercent is the percentage of requests that are sent a second time at once through another entry.
	resendPercent int
	// resendDelay is the time after which a request sent twice is sent a third time, zero for never.
	resendDelay time.Duration
	// failover makes the loader send an incomplete request again at once through another entry, as a balancer does.
	failover bool
	// health is nil if requests are sent to entries whether they are ready or not.
	health *healthChecker
	mu     sync.Mutex
	out    *json.Encoder
}

// loadMain sends streams of requests to entries at constant rates and records the outcome of each request.
func loadMain() {
	entries := flag.String("entries", "", "callers' addresses of the entries, separated by commas")
	streams := flag.String("streams", "", "CLASS:RATE[:FROM_MS:UNTIL_MS], separated by commas")
	duration := flag.Duration("for", time.Second, "how long to send")
	out := flag.String("out", "load.jsonl", "output file for the records")
	seed := flag.Uint64("seed", 1, "seed of the random choices, also part of the keys")
	again := flag.Int("again", 0, "percentage of requests sent a second time at once through another entry")
	later := flag.Duration("later", 0, "time after which such a request is sent a third time, zero for never")
	balancer := flag.Bool("balancer", false, "send a request again at once through another entry if it ended without a complete response")
	check := flag.Bool("check", false, "check the readiness of entries and send only through ready ones, as a balancer does")
	flag.Parse()
	file, err := os.Create(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	l := &loader{
		entries:       strings.Split(*entries, ","),
		client:        &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}, Timeout: 30 * time.Second},
		seed:          *seed,
		resendPercent: *again,
		resendDelay:   *later,
		out:           json.NewEncoder(file),

		failover: *balancer,
	}
	if *check {
		l.health = watchReadiness(l.entries)
	}
	l.run(parseStreams(*streams, *duration))
	if err := file.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(0)
}

func parseStreams(text string, duration time.Duration) []stream {
	var streams []stream
	for _, s := range strings.Split(text, ",") {
		fields := strings.Split(s, ":")
		st := stream{class: fields[0], rate: parseInt(fields[1]), until: duration}
		if len(fields) > 2 {
			st.from = time.Duration(parseInt(fields[2])) * time.Millisecond
			st.until = time.Duration(parseInt(fields[3])) * time.Millisecond
		}
		streams = append(streams, st)
	}
	return streams
}

// parseInt parses a number on the command line and ends the program with exit code 2 if it is none.
func parseInt(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		fmt.Fprintln(os.Stderr, "scen: not a number:", text)
		os.Exit(2)
	}
	return n
}

func (l *loader) run(streams []stream) {
	var running sync.WaitGroup
	for i, s := range streams {
		running.Go(func() { l.sendStream(s, i) })
	}
	running.Wait()
}

// sendStream sends the requests of a stream. Keys and random choices depend only on the seed and the stream's index, so a
// later load with the same seed sends the same keys again.
func (l *loader) sendStream(s stream, index int) {
	rng := rand.New(rand.NewPCG(l.seed, uint64(index)))
	var running sync.WaitGroup
	start := time.Now()
	total := int(float64(s.rate) * (s.until - s.from).Seconds())
	for n := range total {
		due := start.Add(s.from + time.Duration(n)*time.Second/time.Duration(s.rate))
		time.Sleep(time.Until(due))
		key := fmt.Sprintf("%d-%d-%d", l.seed, index, n)
		entry := rng.IntN(len(l.entries))
		resend := rng.IntN(100) < l.resendPercent
		running.Go(func() { l.sendWithFailover(s.class, key, entry) })
		if !resend {
			continue
		}
		running.Go(func() { l.sendWithFailover(s.class, key, entry+1) })
		if l.resendDelay > 0 {
			running.Go(func() {
				time.Sleep(l.resendDelay)
				l.sendWithFailover(s.class, key, entry+2)
			})
		}
	}
	running.Wait()
}

// sendWithFailover sends a request through the entry at an index and, with failover, through the next one if the request
// ended without a complete response.
func (l *loader) sendWithFailover(class, key string, index int) {
	r := l.sendAndRecord(class, key, l.health.choose(l.entries, index))
	if l.failover && r.Outcome == outcomeIncomplete {
		l.sendAndRecord(class, key, l.entries[(index+1)%len(l.entries)])
	}
}

// sendAndRecord sends a request once and writes its record to the output.
func (l *loader) sendAndRecord(class, key, entry string) record {
	r := record{Key: key, Class: class, Entry: entry, Sent: time.Now().UnixMilli()}
	l.execute(&r, bodyFor(key))
	r.Ended = time.Now().UnixMilli()
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.out.Encode(r)
	return r
}

// bodyFor returns a body that differs for each key and is long enough for an answer to be truncated within it.
func bodyFor(key string) []byte { return bytes.Repeat([]byte(key+";"), 40) }

// execute sends the request and fills in the outcome.
func (l *loader) execute(r *record, body []byte) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost,
		"http://"+r.Entry+"/v1/"+r.Class, bytes.NewReader(body))
	if err != nil {
		r.Outcome, r.Detail = outcomeIncomplete, err.Error()
		return
	}
	// Without GetBody the transport cannot retry the request by itself.
	req.GetBody = nil
	req.Header["Idempotency-Key"] = []string{r.Key}
	res, err := l.client.Do(req)
	if err != nil {
		r.Outcome, r.Detail = outcomeIncomplete, err.Error()
		return
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		r.Outcome, r.Detail = outcomeIncomplete, err.Error()
		return
	}
	r.Status = res.StatusCode
	r.Outcome = res.Header.Get("Croft-Outcome")
	if r.Outcome == "" {
		r.Outcome = outcomeIncomplete
	}
	if r.Outcome != "Answered" {
		r.Detail = string(answer)
		return
	}
	r.Whole = matchesRequest(answer, r.Key, body)
	if !r.Whole {
		r.Detail = string(answer)
	}
}

// matchesRequest reports whether an answer carries the key and the digest of the request.
func matchesRequest(answer []byte, key string, body []byte) bool {
	var a fakes.Answered
	if err := json.Unmarshal(answer, &a); err != nil {
		return false
	}
	return a.Key == key && a.Digest == invoke.Digest(body)
}
