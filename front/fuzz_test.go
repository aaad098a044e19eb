package front

import (
	"net/http"
	"testing"

	"waxwing.example/croft"
)

// Whatever a caller's headers hold: what is accepted is bounded, and never laxer than the kind.
func FuzzHeaders(f *testing.F) {
	f.Add("order-17", "1500", "false")
	f.Add("", "", "")
	f.Add("a b", "-1", "true")
	f.Add("\x00", "99999999999999999999", "FALSE")
	f.Fuzz(func(t *testing.T, key, timeout, repeatable string) {
		r := &http.Request{Header: http.Header{
			HeaderKey: {key}, HeaderTimeout: {timeout}, HeaderRepeatable: {repeatable},
		}}
		for _, k := range []croft.Kind{{Deadline: 2000}, {Deadline: 2000, Repeatable: true}} {
			checkHeaders(t, r, k)
		}
	})
}

func checkHeaders(t *testing.T, r *http.Request, k croft.Kind) {
	again, refused := repeatableOf(r, k)
	if refused == nil && again && !k.Repeatable {
		t.Error("a kind that may not be repeated was taken as one that may")
	}
	key, refused := keyOf(r, again)
	if refused == nil && (key == "" || len(key) > maxKeyBytes) {
		t.Errorf("key of %d bytes", len(key))
	}
	span, refused := spanOf(r, k)
	if refused == nil && (span <= 0 || span > k.Deadline) {
		t.Errorf("span of %d ms", span)
	}
}
