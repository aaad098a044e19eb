package plat_test

import (
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/clock"
	"waxwing.example/croft/fakes"
	"waxwing.example/croft/links"
	"waxwing.example/croft/plat"
)

// Dials that began while the platform was cut off must not hold the client's connections once it is back.
func TestExchangesGoOnAfterACut(t *testing.T) {
	const timeout = 50 * croft.Millis(1)
	platform := fakes.NewPlatform(fakes.PlatformOptions{})
	defer platform.Close()
	server := httptest.NewServer(platform.Handler())
	defer server.Close()
	network := links.New(netip.MustParseAddr("127.0.0.1"))
	client := plat.New(plat.Options{Address: server.URL, Dial: network.Dial, Timeout: timeout})
	defer client.Close()

	remote, err := netip.ParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	assert.NilError(t, err)
	network.Cut(netip.PrefixFrom(remote.Addr(), remote.Addr().BitLen()))
	for range 2 * plat.MaxConns {
		assert.Equal(t, commit(t.Context(), client), notDone)
	}
	network.Heal()
	const tries = 100
	waits := clock.NewSystem()
	for range tries {
		if commit(t.Context(), client) == done {
			return
		}
		assert.NilError(t, waits.Sleep(t.Context(), timeout))
	}
	t.Fatalf("no exchange in %d tries after the cut", tries)
}
