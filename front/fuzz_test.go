package front

import (
	"net/http"
	"testing"

	"waxwing.example/croft"
)

// FuzzHeaders checks that values parsed from arbitrary headers are within bounds and allow no more than the kind does.
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
	mayRepeat, problem := parseRepeatable(r, k)
	if problem == nil && mayRepeat && !k.Repeatable {
		t.Error("a kind that may not be repeated was taken as one that may")
	}
	key, problem := parseKey(r, mayRepeat)
	if problem == nil && (key == "" || len(key) > maxKeyBytes) {
		t.Errorf("key of %d bytes", len(key))
	}
	timeout, problem := parseTimeout(r, k)
	if problem == nil && (timeout <= 0 || timeout > k.Deadline) {
		t.Errorf("timeout of %d ms", timeout)
	}
}
