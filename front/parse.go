package front

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/google/uuid"
	"github.com/labstack/echo/v5"

	"waxwing.example/croft"
)

// maxKeyBytes is the maximum length of an Idempotency-Key.
const maxKeyBytes = 128

// noConfigRetryAfter is the retry hint of an entry that has just started and has no configuration yet.
const noConfigRetryAfter = croft.Second

// acceptedRequest is a valid request and the pool that serves it.
type acceptedRequest struct {
	croft.Request
	pool croft.PoolID
}

// parse reads and validates a caller's request by the configuration of a view.
func (f *Front) parse(c *echo.Context, v *croft.View) (acceptedRequest, *Problem) {
	r := c.Request()
	body, problem := f.readBody(c)
	if problem != nil {
		return acceptedRequest{}, problem
	}
	if v.Config.Version == 0 {
		problem := notRunProblem("this entry has no configuration yet", noConfigRetryAfter)
		problem.entryDependent = true
		return acceptedRequest{}, problem
	}
	service, ok := v.Config.Service(croft.ServiceID(c.Param("service")))
	if !ok {
		return acceptedRequest{}, invalidAtEntry(http.StatusNotFound, "service", "no such service is declared")
	}
	kind, ok := service.Kind(croft.KindID(c.Param("kind")))
	if !ok {
		return acceptedRequest{}, invalidAtEntry(http.StatusNotFound, "kind", "the service declares no such kind")
	}
	repeatable, problem := parseRepeatable(r, kind)
	if problem != nil {
		return acceptedRequest{}, problem
	}
	key, problem := parseKey(r, repeatable)
	if problem != nil {
		return acceptedRequest{}, problem
	}
	timeout, problem := parseTimeout(r, kind)
	if problem != nil {
		return acceptedRequest{}, problem
	}
	now := f.Clock.Now()
	request := croft.Request{
		Class:       croft.Class{Service: service.ID, Kind: kind.ID},
		Key:         key,
		Repeatable:  repeatable,
		Arrived:     now,
		Deadline:    now + timeout,
		ContentType: r.Header.Get("Content-Type"),
		Body:        body,
	}
	return acceptedRequest{Request: request, pool: service.Pool}, nil
}

// parseRepeatable returns whether the request may run more than once. The header can forbid repetitions that the kind
// allows, but not allow them if the kind does not.
func parseRepeatable(r *http.Request, kind croft.Kind) (bool, *Problem) {
	switch r.Header.Get(HeaderRepeatable) {
	case "":
		return kind.Repeatable, nil
	case "false":
		return false, nil
	}
	return false, invalidInput(http.StatusBadRequest, HeaderRepeatable, "only false may be asked for")
}

// parseKey returns the caller's key. It is required if the request may not run more than once, so that a repetition can
// be recognised; other requests get a random key if they have none.
func parseKey(r *http.Request, repeatable bool) (string, *Problem) {
	key := r.Header.Get(HeaderKey)
	if key == "" && repeatable {
		return uuid.NewString(), nil
	}
	if key == "" {
		return "", invalidInput(http.StatusBadRequest, HeaderKey, "required where a request may not be repeated")
	}
	if len(key) > maxKeyBytes {
		return "", invalidInput(http.StatusBadRequest, HeaderKey, fmt.Sprintf("longer than %d bytes", maxKeyBytes))
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return "", invalidInput(http.StatusBadRequest, HeaderKey, "only visible ASCII is allowed")
		}
	}
	return key, nil
}

// parseTimeout returns the caller's timeout, at most the deadline of the kind.
func parseTimeout(r *http.Request, kind croft.Kind) (croft.Millis, *Problem) {
	text := r.Header.Get(HeaderTimeout)
	if text == "" {
		return kind.Deadline, nil
	}
	timeout, err := strconv.ParseInt(text, 10, 64)
	if err != nil || timeout <= 0 {
		return 0, invalidInput(http.StatusBadRequest, HeaderTimeout, "not a positive number of milliseconds")
	}
	return min(croft.Millis(timeout), kind.Deadline), nil
}
