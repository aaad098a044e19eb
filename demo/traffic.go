package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"waxwing.example/croft"
)

// sendToAllClasses sends requests of each kind of each service at the same time; all of them must be answered.
func (w *walkthrough) sendToAllClasses(ctx context.Context) error {
	const perClass = 20
	var g errgroup.Group
	total := 0
	for _, service := range newConfig().Services {
		for _, kind := range service.Kinds {
			total += perClass
			g.Go(func() error { return w.sendOfClass(ctx, croft.Class{Service: service.ID, Kind: kind.ID}, perClass) })
		}
	}
	if err := g.Wait(); err != nil {
		return err
	}
	w.printf("answered: %d of %d requests", total, total)
	return nil
}

// sendOfClass sends requests of one class one after another; it returns an error at the first that is not answered.
func (w *walkthrough) sendOfClass(ctx context.Context, class croft.Class, count int) error {
	for range count {
		outcome, err := w.send(ctx, class, uuid.NewString())
		if err != nil {
			return err
		}
		if outcome != croft.OutcomeAnswered {
			return fmt.Errorf("%s: outcome %s", class, outcome)
		}
	}
	return nil
}

// sendTwice sends a request that must not be repeated, and sends it again under the same idempotency key: the second
// outcome must be unknown, since the first request may have run.
func (w *walkthrough) sendTwice(ctx context.Context) error {
	class := croft.Class{Service: "shipping", Kind: "promise"}
	key := uuid.NewString()
	first, err := w.send(ctx, class, key)
	if err != nil {
		return err
	}
	second, err := w.send(ctx, class, key)
	if err != nil {
		return err
	}
	w.printf("%s twice under one key: first %s, then %s", class, first, second)
	if first != croft.OutcomeAnswered || second != croft.OutcomeUnknown {
		return fmt.Errorf("%s twice under one key: outcomes %s and %s, want %s and %s",
			class, first, second, croft.OutcomeAnswered, croft.OutcomeUnknown)
	}
	return nil
}

// floodPool sends far more requests of one kind than the pool can serve, with urgent readings in between; all readings
// must be answered.
func (w *walkthrough) floodPool(ctx context.Context) error {
	const floodCount, readingCount = 3000, 40
	var mu sync.Mutex
	counts := map[croft.Class]map[croft.Outcome]int{}
	sendAndCount := func(class croft.Class) {
		outcome, err := w.send(ctx, class, uuid.NewString())
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			outcome = croft.Outcome(err.Error())
		}
		if counts[class] == nil {
			counts[class] = map[croft.Outcome]int{}
		}
		counts[class][outcome]++
	}
	flood := croft.Class{Service: "intake-coast", Kind: "catalogue"}
	reading := croft.Class{Service: "intake-north", Kind: "reading"}
	var running sync.WaitGroup
	const maxConcurrent = 1500
	slots := make(chan struct{}, maxConcurrent)
	for i := range floodCount {
		if i%(floodCount/readingCount) == 0 {
			running.Go(func() { sendAndCount(reading) })
			time.Sleep((20 * croft.Millis(1)).Duration())
		}
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			sendAndCount(flood)
		})
	}
	running.Wait()
	w.printf("flood of %s: %d answered, %d refused as not run; %s meanwhile: %d of %d answered",
		flood, counts[flood][croft.OutcomeAnswered], counts[flood][croft.OutcomeNotRun],
		reading, counts[reading][croft.OutcomeAnswered], readingCount)
	if counts[reading][croft.OutcomeAnswered] != readingCount {
		return fmt.Errorf("readings in the flood: %v", counts[reading])
	}
	return nil
}

// send sends one request to the entry as a caller does and returns its outcome.
func (w *walkthrough) send(ctx context.Context, class croft.Class, key string) (croft.Outcome, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+w.settings.Callers+"/v1/"+class.String(), strings.NewReader("demo"))
	if err != nil {
		return "", err
	}
	req.Header.Set("Idempotency-Key", key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return "", err
	}
	return croft.Outcome(res.Header.Get("Croft-Outcome")), nil
}
