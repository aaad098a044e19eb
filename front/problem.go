package front

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v5"

	"waxwing.example/croft"
)

// Headers of the callers' interface.
const (
	HeaderKey          = "Idempotency-Key"
	HeaderTimeout      = "Croft-Timeout-Ms"
	HeaderRepeatable   = "Croft-Repeatable"
	HeaderOutcome      = "Croft-Outcome"
	HeaderRetryAfter   = "Retry-After"
	HeaderRetryAfterMs = "Croft-Retry-After-Ms"
)

const problemType = "application/problem+json"

// Problem is the body of each answer that is not the executor's, as RFC 9457 lays it out.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Outcome is what became of the request.
	Outcome croft.Outcome
	// Field names the part of the request that is bad.
	Field string `json:",omitempty"`
	// RetryAfter is the same as the header Croft-Retry-After-Ms, zero for none.
	RetryAfter croft.Millis `json:",omitempty"`

	// local says that another entry might take the same request.
	local bool
}

// Error gives the detail.
func (p *Problem) Error() string { return p.Detail }

func badInput(status int, field, detail string) *Problem {
	return &Problem{Status: status, Detail: detail, Field: field, Outcome: croft.OutcomeNotRun}
}

// badHere is bad input by this entry's configuration and limits, or by what it could read.
func badHere(status int, field, detail string) *Problem {
	p := badInput(status, field, detail)
	p.local = true
	return p
}

func notRun(detail string, retryAfter croft.Millis) *Problem {
	return &Problem{
		Status:     http.StatusServiceUnavailable,
		Detail:     detail,
		Outcome:    croft.OutcomeNotRun,
		RetryAfter: retryAfter,
	}
}

func unknown(status int, detail string) *Problem {
	return &Problem{Status: status, Detail: detail, Outcome: croft.OutcomeUnknown}
}

// undispatched refuses a request that may not be repeated where its claim was not consulted: an earlier
// request with its key may have run through another entry.
func undispatched(detail string, retryAfter croft.Millis) *Problem {
	p := unknown(http.StatusServiceUnavailable, detail+noPromise)
	p.RetryAfter = retryAfter
	return p
}

// noPromise ends the detail of a refusal that cannot tell what became of earlier requests with the key.
const noPromise = "; this entry dispatched nothing, but an earlier request with this key may have run; " +
	"sending again with the same key is safe"

// truthful takes back the promise of a refusal that another entry need not have given to the same request:
// its configuration or limits may differ, and the request may have run there.
func (p *Problem) truthful(r *http.Request) *Problem {
	if !p.local || r.Header.Get(HeaderKey) == "" {
		return p
	}
	p.Outcome = croft.OutcomeUnknown
	p.Detail += noPromise
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

// routeFailed answers for paths and methods that no handler takes.
func (f *Front) routeFailed(c *echo.Context, err error) {
	status := http.StatusInternalServerError
	var coded echo.HTTPStatusCoder
	if errors.As(err, &coded) {
		status = coded.StatusCode()
	}
	field := "path"
	if status == http.StatusMethodNotAllowed {
		field = "method"
	}
	// A caller that is gone gets nothing.
	_ = badInput(status, field, http.StatusText(status)).write(c.Response())
}
