package demo

import (
	"context"
	"errors"
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

// answer sends requests of each service, all of which must be answered.
func (s *story) answer(ctx context.Context) error {
	const each = 20
	var g errgroup.Group
	asked := 0
	for _, v := range config().Services {
		for _, k := range v.Kinds {
			asked += each
			g.Go(func() error { return s.answerAll(ctx, croft.Class{Service: v.ID, Kind: k.ID}, each) })
		}
	}
	if err := g.Wait(); err != nil {
		return err
	}
	s.say("answered: %d of %d requests", asked, asked)
	return nil
}

func (s *story) answerAll(ctx context.Context, class croft.Class, count int) error {
	for range count {
		outcome, err := s.ask(ctx, class, uuid.NewString())
		if err != nil {
			return err
		}
		if outcome != croft.OutcomeAnswered {
			return fmt.Errorf("%s: outcome %s", class, outcome)
		}
	}
	return nil
}

// repeat sends a request that may not be repeated a second time under its key.
func (s *story) repeat(ctx context.Context) error {
	class := croft.Class{Service: "shipping", Kind: "promise"}
	key := uuid.NewString()
	first, err := s.ask(ctx, class, key)
	if err != nil {
		return err
	}
	second, err := s.ask(ctx, class, key)
	if err != nil {
		return err
	}
	s.say("%s twice under one key: first %s, then %s", class, first, second)
	if first != croft.OutcomeAnswered || second != croft.OutcomeUnknown {
		return errors.New("a request that may not be repeated was answered twice")
	}
	return nil
}

// flood sends far more of one kind than the pool holds, with urgent readings in between.
func (s *story) flood(ctx context.Context) error {
	const floods, readings = 3000, 40
	var mu sync.Mutex
	counts := map[croft.Class]map[croft.Outcome]int{}
	count := func(class croft.Class) {
		outcome, err := s.ask(ctx, class, uuid.NewString())
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
	const atOnce = 1500
	free := make(chan struct{}, atOnce)
	for i := range floods {
		if i%(floods/readings) == 0 {
			running.Go(func() { count(reading) })
			time.Sleep((20 * croft.Millis(1)).Duration())
		}
		free <- struct{}{}
		running.Go(func() {
			defer func() { <-free }()
			count(flood)
		})
	}
	running.Wait()
	s.say("flood of %s: %d answered, %d refused as not run; %s meanwhile: %d of %d answered",
		flood, counts[flood][croft.OutcomeAnswered], counts[flood][croft.OutcomeNotRun],
		reading, counts[reading][croft.OutcomeAnswered], readings)
	if counts[reading][croft.OutcomeAnswered] != readings {
		return fmt.Errorf("readings in the flood: %v", counts[reading])
	}
	return nil
}

// ask sends one request to the entry as a caller does.
func (s *story) ask(ctx context.Context, class croft.Class, key string) (croft.Outcome, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+s.settings.Callers+"/v1/"+class.String(), strings.NewReader("demo"))
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
