package intake

import (
	"cmp"
	"slices"
	"strings"

	"waxwing.example/croft"
)

// Index finds the queue of a request.
type Index struct {
	// Version is that of the configuration.
	Version     uint64
	BodyBytes   int64
	HeaderBytes int
	// hosts has the queues of each host, the longest prefix first.
	hosts map[string][]croft.Queue
}

// NewIndex returns the index of a configuration.
func NewIndex(config croft.QueueConfig) *Index {
	x := &Index{Version: config.Version, BodyBytes: config.BodyBytes, HeaderBytes: config.HeaderBytes, hosts: map[string][]croft.Queue{}}
	for _, q := range config.Queues {
		x.hosts[q.Host] = append(x.hosts[q.Host], q)
	}
	for _, queues := range x.hosts {
		slices.SortStableFunc(queues, func(a, b croft.Queue) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return x
}

// Find returns the queue with the longest prefix of the path.
func (x *Index) Find(host, path string) (croft.Queue, bool) {
	for _, q := range x.hosts[host] {
		if strings.HasPrefix(path, q.Prefix) {
			return q, true
		}
	}
	return croft.Queue{}, false
}
