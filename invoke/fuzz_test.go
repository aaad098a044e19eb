package invoke

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	"waxwing.example/croft"
)

// FuzzRead gives the client whatever bytes an executor may send, and checks what it makes of them.
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
		digest := sha256Of(response.Header.Get(HeaderDigest))
		client := New(Options{MaxBody: 64})
		reply, err := client.read(response, id)
		own := len(echoed) == 1 && echoed[0] == id
		if _, refused := err.(*croft.RefusedError); refused && (!own || outcome != OutcomeNotRun) { //nolint:errorlint // read wraps none
			t.Fatalf("refused by the word of nobody: %q", sent)
		}
		if err != nil {
			return
		}
		if !own || outcome == OutcomeNotRun || reply.Status < http.StatusOK || len(reply.Body) > 64 {
			t.Fatalf("passed on: %q as %+v", sent, reply)
		}
		if digest != "" && digest != Digest(reply.Body) {
			t.Fatalf("passed on against its digest: %q", sent)
		}
	})
}
