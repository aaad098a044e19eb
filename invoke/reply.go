package invoke

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"waxwing.example/croft"
)

// AnswerError is a constant reason not to trust an answer.
type AnswerError string

// Error returns the text.
func (e AnswerError) Error() string { return string(e) }

// Reasons not to trust an answer.
const (
	ErrOtherAttempt AnswerError = "answer is of another attempt"
	ErrNoLength     AnswerError = "answer has neither a length nor a digest"
	ErrStatus       AnswerError = "answer is not a final one"
	ErrTooLong      AnswerError = "answer is longer than the bound"
	ErrDigest       AnswerError = "answer differs from its digest"
)

// errBody marks a refusal whose connection is not to be used again.
var errBody = errors.New("its body is not whole")

// ownHeaders are those of an answer that concern only this connection or this attempt.
var ownHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Te", "Trailer", "Upgrade",
	HeaderAttempt, HeaderLeaving, HeaderOutcome, HeaderReason,
}

// read returns the whole answer once it is known to be this attempt's, a *croft.RefusedError where
// the executor says that it did not run, or why the answer is not to be trusted.
func (c *Client) read(response *http.Response, id string) (croft.Reply, error) {
	header := response.Header
	if echoed := header.Values(HeaderAttempt); len(echoed) != 1 || echoed[0] != id {
		return croft.Reply{}, ErrOtherAttempt
	}
	if response.StatusCode < http.StatusOK {
		return croft.Reply{}, ErrStatus
	}
	digest := header.Get(HeaderDigest)
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && sha256Of(digest) == "" {
		return croft.Reply{}, ErrNoLength
	}
	leaving := header.Get(HeaderLeaving) == LeavingTrue
	body, err := c.readBody(response.Body, digest)
	if header.Get(HeaderOutcome) == OutcomeNotRun {
		// The header alone is the executor's word, whatever became of the body.
		if err != nil {
			return croft.Reply{}, fmt.Errorf("%w: %w", refusal(header, leaving), errBody)
		}
		return croft.Reply{}, refusal(header, leaving)
	}
	if err != nil {
		return croft.Reply{}, err
	}
	for _, name := range ownHeaders {
		header.Del(name)
	}
	return croft.Reply{Status: response.StatusCode, Header: header, Body: body, Leaving: leaving}, nil
}

func refusal(header http.Header, leaving bool) *croft.RefusedError {
	reason := header.Get(HeaderReason)
	return &croft.RefusedError{
		Reason:  "executor says " + reason,
		Leaving: leaving,
		Busy:    reason == ReasonBusy,
	}
}

func (c *Client) readBody(from io.Reader, digest string) ([]byte, error) {
	body, err := readBounded(from, c.maxBody)
	if err != nil {
		return nil, err
	}
	if want := sha256Of(digest); want != "" && want != Digest(body) {
		return nil, ErrDigest
	}
	return body, nil
}

func readBounded(from io.Reader, bound int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(from, bound+1))
	if err != nil {
		return nil, fmt.Errorf("reading an answer: %w", err)
	}
	if int64(len(body)) > bound {
		return nil, ErrTooLong
	}
	return body, nil
}

// sha256Of returns the sha-256 member of a Content-Digest, empty where there is none.
func sha256Of(digest string) string {
	for member := range strings.SplitSeq(digest, ",") {
		member = strings.TrimSpace(member)
		if strings.HasPrefix(member, "sha-256=") {
			return member
		}
	}
	return ""
}
