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

// Dials that began during a partition must time out; otherwise they would occupy all of the client's MaxConns
// connections after the partition has healed.
func TestRequestsSucceedAfterPartitionHeals(t *testing.T) {
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
	network.Partition(netip.PrefixFrom(remote.Addr(), remote.Addr().BitLen()))
	for range 2 * plat.MaxConns {
		assert.Equal(t, commit(t.Context(), client), notDone)
	}
	network.Heal()
	const tries = 100
	systemClock := clock.NewSystem()
	for range tries {
		if commit(t.Context(), client) == done {
			return
		}
		assert.NilError(t, systemClock.Sleep(t.Context(), timeout))
	}
	t.Fatalf("no request succeeded in %d tries after the partition healed", tries)
}
