package front

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v5"

	"waxwing.example/croft"
)

// Headers of callers' requests and of the answers to them.
const (
	HeaderKey          = "Idempotency-Key"
	HeaderTimeout      = "Croft-Timeout-Ms"
	HeaderRepeatable   = "Croft-Repeatable"
	HeaderOutcome      = "Croft-Outcome"
	HeaderRetryAfter   = "Retry-After"
	HeaderRetryAfterMs = "Croft-Retry-After-Ms"
)

// problemType is the media type of problems.
const problemType = "application/problem+json"

// Problem is the body of an answer that does not come from an executor, a problem detail as in RFC 9457.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Outcome says whether the request did not run or may have run.
	Outcome croft.Outcome
	// Field names the part of the request that is invalid.
	Field string `json:",omitempty"`
	// RetryAfter is the value of the header Croft-Retry-After-Ms, zero for none.
	RetryAfter croft.Millis `json:",omitempty"`

	// entryDependent says that another entry might accept the same request.
	entryDependent bool
}

// Error returns the detail.
func (p *Problem) Error() string { return p.Detail }

// invalidInput returns a problem for input that every entry rejects, so that the request did not run.
func invalidInput(status int, field, detail string) *Problem {
	return &Problem{Status: status, Detail: detail, Field: field, Outcome: croft.OutcomeNotRun}
}

// invalidAtEntry returns a problem for input that this entry rejects by its configuration or limits, or could not read
// completely; another entry might accept the same input.
func invalidAtEntry(status int, field, detail string) *Problem {
	p := invalidInput(status, field, detail)
	p.entryDependent = true
	return p
}

// notRunProblem returns the problem for a request that did not run, with a retry hint.
func notRunProblem(detail string, retryAfter croft.Millis) *Problem {
	return &Problem{
		Status:     http.StatusServiceUnavailable,
		Detail:     detail,
		Outcome:    croft.OutcomeNotRun,
		RetryAfter: retryAfter,
	}
}

// unknownProblem returns the problem for a request that may have run.
func unknownProblem(status int, detail string) *Problem {
	return &Problem{Status: status, Detail: detail, Outcome: croft.OutcomeUnknown}
}

// notDispatched refuses a request that may not be repeated and whose claim was not checked: an earlier request with its
// key may have run through another entry, so that the outcome is unknown.
func notDispatched(detail string, retryAfter croft.Millis) *Problem {
	p := unknownProblem(http.StatusServiceUnavailable, detail+earlierUnknown)
	p.RetryAfter = retryAfter
	return p
}

// earlierUnknown is appended to the detail if the outcome of earlier requests with the same key is unknown.
const earlierUnknown = "; this entry dispatched nothing, but an earlier request with this key may have run; " +
	"sending again with the same key is safe"

// downgradeOutcome changes the outcome from not run to unknown if another entry, with other configuration or limits,
// may have accepted and run an earlier request with the same key.
func (p *Problem) downgradeOutcome(r *http.Request) *Problem {
	if !p.entryDependent || r.Header.Get(HeaderKey) == "" {
		return p
	}
	p.Outcome = croft.OutcomeUnknown
	p.Detail += earlierUnknown
	return p
}

// write sends the problem with its headers.
func (p *Problem) write(w http.ResponseWriter) error {
	p.Type = "about:blank"
	p.Title = http.StatusText(p.Status)
	body, err := json.Marshal(p)
	if err != nil {
		return err
	}
	h := w.Header()
	h.Set("Content-Type", problemType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderOutcome, string(p.Outcome))
	if p.RetryAfter > 0 {
		seconds := (p.RetryAfter + croft.Second - 1) / croft.Second
		h.Set(HeaderRetryAfter, strconv.FormatInt(int64(seconds), 10))
		h.Set(HeaderRetryAfterMs, strconv.FormatInt(int64(p.RetryAfter), 10))
	}
	w.WriteHeader(p.Status)
	_, err = w.Write(body)
	return err
}

// handleRouteError answers requests for paths and methods without a handler.
func (f *Front) handleRouteError(c *echo.Context, err error) {
	status := http.StatusInternalServerError
	var coded echo.HTTPStatusCoder
	if errors.As(err, &coded) {
		status = coded.StatusCode()
	}
	field := "path"
	if status == http.StatusMethodNotAllowed {
		field = "method"
	}
	// Writing fails only if the caller has disconnected.
	_ = invalidInput(status, field, http.StatusText(status)).write(c.Response())
}
