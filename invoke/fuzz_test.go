package invoke

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	"waxwing.example/croft"
)

// FuzzRead feeds arbitrary response bytes to the client: it may return only a valid reply to the attempt, and report the
// attempt as not run only if the response refuses it.
func FuzzRead(f *testing.F) {
	const id = "attempt1"
	f.Fuzz(func(t *testing.T, sent []byte) {
		response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(sent)), nil)
		if err != nil {
			return
		}
		defer response.Body.Close()
		echoed := response.Header.Values(HeaderAttempt)
		outcome := response.Header.Get(HeaderOutcome)
		digest := sha256Member(response.Header.Get(HeaderDigest))
		client := New(Options{MaxBodyBytes: 64})
		reply, err := client.readReply(t.Context(), response, croft.Attempt{ID: id})
		own := len(echoed) == 1 && echoed[0] == id
		if _, refused := err.(*croft.RefusedError); refused && (!own || outcome != OutcomeNotRun) { //nolint:errorlint // a refusal with an invalid body is wrapped, and not checked here
			t.Fatalf("reported as not run without the executor's refusal: %q", sent)
		}
		if err != nil {
			return
		}
		if !own || outcome == OutcomeNotRun || reply.Status < http.StatusOK || len(reply.Body) > 64 {
			t.Fatalf("invalid response %q was returned as %+v", sent, reply)
		}
		if digest != "" && digest != Digest(reply.Body) {
			t.Fatalf("response was returned although its digest differs: %q", sent)
		}
	})
}
