package front

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/google/uuid"
	"github.com/labstack/echo/v5"

	"waxwing.example/croft"
)

// maxKeyBytes is the longest Idempotency-Key.
const maxKeyBytes = 128

// noConfigRetryAfter is the hint of an entry that has just started.
const noConfigRetryAfter = croft.Second

// accepted is a request that may be admitted, and the pool that serves it.
type accepted struct {
	croft.Request
	pool croft.PoolID
}

// parse reads a caller's request whole, or tells what is wrong with it.
func (f *Front) parse(c *echo.Context, v *croft.View) (accepted, *Problem) {
	r := c.Request()
	body, problem := f.readBody(c)
	if problem != nil {
		return accepted{}, problem
	}
	if v.Config.Version == 0 {
		problem := notRun("this entry has no configuration yet", noConfigRetryAfter)
		problem.local = true
		return accepted{}, problem
	}
	service, ok := v.Config.Service(croft.ServiceID(c.Param("service")))
	if !ok {
		return accepted{}, badHere(http.StatusNotFound, "service", "no such service is declared")
	}
	kind, ok := service.Kind(croft.KindID(c.Param("kind")))
	if !ok {
		return accepted{}, badHere(http.StatusNotFound, "kind", "the service declares no such kind")
	}
	repeatable, problem := repeatableOf(r, kind)
	if problem != nil {
		return accepted{}, problem
	}
	key, problem := keyOf(r, repeatable)
	if problem != nil {
		return accepted{}, problem
	}
	span, problem := spanOf(r, kind)
	if problem != nil {
		return accepted{}, problem
	}
	now := f.Clock.Now()
	request := croft.Request{
		Class:       croft.Class{Service: service.ID, Kind: kind.ID},
		Key:         key,
		Repeatable:  repeatable,
		Arrived:     now,
		Deadline:    now + span,
		ContentType: r.Header.Get("Content-Type"),
		Body:        body,
	}
	return accepted{Request: request, pool: service.Pool}, nil
}

func (f *Front) readBody(c *echo.Context) ([]byte, *Problem) {
	limited := http.MaxBytesReader(c.Response(), c.Request().Body, f.Limits.BodyBytes)
	body, err := io.ReadAll(limited)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		detail := fmt.Sprintf("body is over %d bytes", f.Limits.BodyBytes)
		return nil, badHere(http.StatusRequestEntityTooLarge, "body", detail)
	}
	if err != nil {
		return nil, badHere(http.StatusBadRequest, "body", "body could not be read whole")
	}
	return body, nil
}

func repeatableOf(r *http.Request, kind croft.Kind) (bool, *Problem) {
	switch r.Header.Get(HeaderRepeatable) {
	case "":
		return kind.Repeatable, nil
	case "false":
		return false, nil
	}
	return false, badInput(http.StatusBadRequest, HeaderRepeatable, "only false may be asked for")
}

// keyOf requires a key where a repeat must be known again; others get one of their own.
func keyOf(r *http.Request, repeatable bool) (string, *Problem) {
	key := r.Header.Get(HeaderKey)
	if key == "" && repeatable {
		return uuid.NewString(), nil
	}
	if key == "" {
		return "", badInput(http.StatusBadRequest, HeaderKey, "required where a request may not be repeated")
	}
	if len(key) > maxKeyBytes {
		return "", badInput(http.StatusBadRequest, HeaderKey, fmt.Sprintf("longer than %d bytes", maxKeyBytes))
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return "", badInput(http.StatusBadRequest, HeaderKey, "only visible ASCII is allowed")
		}
	}
	return key, nil
}

func spanOf(r *http.Request, kind croft.Kind) (croft.Millis, *Problem) {
	text := r.Header.Get(HeaderTimeout)
	if text == "" {
		return kind.Deadline, nil
	}
	span, err := strconv.ParseInt(text, 10, 64)
	if err != nil || span <= 0 {
		return 0, badInput(http.StatusBadRequest, HeaderTimeout, "not a positive number of milliseconds")
	}
	return min(croft.Millis(span), kind.Deadline), nil
}
