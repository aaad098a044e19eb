package roster

import (
	"encoding/json"
	"testing"

	"waxwing.example/croft"
	"waxwing.example/croft/peer"
)

// Whatever another entry sends, the receiver must stay in its own roster and its share must stay within the bounds.
func FuzzReport(f *testing.F) {
	f.Add([]byte(`{"From":{"ID":"e2","DataCentre":"d0","Address":"127.1.0.2:1"},"Beats":{"e2":7,"e9":1},"Wanted":{"p":40}}`))
	f.Add([]byte(`{"From":{"ID":"e0"},"Count":-3}`))
	f.Add([]byte(`{"From":{"ID":"e3"},"Known":[{"ID":"e4"},{"Address":"x"}],"Wanted":{"p":-900}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		var r peer.Report
		if json.Unmarshal(body, &r) != nil {
			return
		}
		s, _ := Reduce(New(testPeer(0), Options{}), croft.PeerMessageReceived{
			At: croft.At{Time: 100}, Peer: r.From, Known: r.Known, Beats: r.Beats, Count: r.Count, Wanted: r.Wanted,
		})
		s, _ = Reduce(s, croft.TrafficCounted{At: croft.At{Time: 200}, Wanted: map[croft.PoolID]int{"p": 1}})
		if s.Self().ID != testPeer(0).ID || len(s.Alive()) == 0 {
			t.Fatalf("self is %q with %d entries alive, want %q and at least one", s.Self().ID, len(s.Alive()), testPeer(0).ID)
		}
		if share := s.Share("p"); share < 0 || share > fullShare {
			t.Fatalf("share %d is not within 0 and %d thousandths", share, fullShare)
		}
		s.Message(300, r.From, r.Ask, 1)
	})
}
