package invoke

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"waxwing.example/croft"
)

// ResponseError is a constant error that says why a response is not the complete reply to an attempt.
type ResponseError string

// Error returns the text.
func (e ResponseError) Error() string { return string(e) }

// The errors of responses that cannot be accepted as a reply.
const (
	ErrWrongAttempt   ResponseError = "answer is of another attempt"
	ErrNoLength       ResponseError = "answer has neither a length nor a digest"
	ErrInterimStatus  ResponseError = "answer is not a final one"
	ErrTooLong        ResponseError = "answer is longer than the bound"
	ErrDigestMismatch ResponseError = "answer differs from its digest"
)

// errRefusalBody is wrapped with a refusal whose body is incomplete or invalid; its connection must not be used again.
var errRefusalBody = errors.New("body of the refusal is invalid")

// strippedHeaders are the response headers that only concern this connection or this attempt; they are removed from the
// reply.
var strippedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Te", "Trailer", "Upgrade",
	HeaderAttempt, HeaderLeaving, HeaderOutcome, HeaderReason,
}

// readReply reads and verifies a response. It returns the complete reply if it is the attempt's own, a
// *croft.RefusedError if the executor reports that the attempt did not run, or the error of an invalid response.
func (c *Client) readReply(ctx context.Context, response *http.Response, attempt croft.Attempt) (croft.Reply, error) {
	header := response.Header
	if echoed := header.Values(HeaderAttempt); len(echoed) != 1 || echoed[0] != attempt.ID {
		return croft.Reply{}, ErrWrongAttempt
	}
	if response.StatusCode < http.StatusOK {
		return croft.Reply{}, ErrInterimStatus
	}
	digest := header.Get(HeaderDigest)
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && sha256Member(digest) == "" {
		return croft.Reply{}, ErrNoLength
	}
	leaving := header.Get(HeaderLeaving) == LeavingTrue
	body, err := c.readBody(ctx, response, digest, attempt)
	if header.Get(HeaderOutcome) == OutcomeNotRun {
		// The header alone says that the attempt did not run; an invalid body does not change that.
		if err != nil {
			return croft.Reply{}, fmt.Errorf("%w: %w", newRefusal(header, leaving), errRefusalBody)
		}
		return croft.Reply{}, newRefusal(header, leaving)
	}
	if err != nil {
		return croft.Reply{}, err
	}
	for _, name := range strippedHeaders {
		header.Del(name)
	}
	return croft.Reply{Status: response.StatusCode, Header: header, Body: body, Leaving: leaving}, nil
}

// newRefusal returns the error for a response that reports the attempt as not run.
func newRefusal(header http.Header, leaving bool) *croft.RefusedError {
	reason := header.Get(HeaderReason)
	return &croft.RefusedError{
		Reason:  "executor says " + reason,
		Leaving: leaving,
		Busy:    reason == ReasonBusy,
	}
}

// readBody reads a body and verifies its digest, if there is one.
func (c *Client) readBody(ctx context.Context, response *http.Response, digest string, attempt croft.Attempt) ([]byte, error) {
	body, err := readBounded(ctx, response, c.maxBodyBytes, attempt)
	if err != nil {
		return nil, err
	}
	if want := sha256Member(digest); want != "" && want != Digest(body) {
		return nil, ErrDigestMismatch
	}
	return body, nil
}

// readBounded reads a body of limited size once the attempt has reserved the memory for it.
func readBounded(ctx context.Context, response *http.Response, maxBytes int64, attempt croft.Attempt) ([]byte, error) {
	size := response.ContentLength
	if size > maxBytes {
		return nil, ErrTooLong
	}
	if size < 0 {
		// io.ReadAll copies its buffer when it grows.
		size = 2 * maxBytes
	}
	if attempt.Reserve != nil {
		if err := attempt.Reserve(ctx, size); err != nil {
			return nil, fmt.Errorf("reading an answer: %w", err)
		}
	}
	var body []byte
	var err error
	if response.ContentLength >= 0 {
		body = make([]byte, size)
		_, err = io.ReadFull(response.Body, body)
	} else {
		body, err = io.ReadAll(io.LimitReader(response.Body, maxBytes+1))
	}
	if err != nil {
		return nil, fmt.Errorf("reading an answer: %w", err)
	}
	if int64(len(body)) > maxBytes {
		return nil, ErrTooLong
	}
	return body, nil
}

// sha256Member returns the sha-256 member of a Content-Digest header, empty if there is none.
func sha256Member(digest string) string {
	for member := range strings.SplitSeq(digest, ",") {
		member = strings.TrimSpace(member)
		if strings.HasPrefix(member, "sha-256=") {
			return member
		}
	}
	return ""
}
