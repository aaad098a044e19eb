package intake

import (
	"cmp"
	"slices"
	"strings"

	"waxwing.example/croft"
	"waxwing.example/croft/orgs"
)

// Index finds the queue of a request by host and path.
type Index struct {
	// Version is the version of the configuration.
	Version uint64
	// BodyBytes is the maximum size of a request body.
	BodyBytes int64
	// HeaderBytes is the maximum size of the headers of a request.
	HeaderBytes int
	// HeaderTimeout and IdleTimeout bound the arrival of headers and the time between requests of a connection.
	HeaderTimeout, IdleTimeout croft.Millis
	// keys has the API keys of the organisations.
	keys orgs.Keys
	// caps has the caps of the organisations.
	caps map[croft.OrganisationID]croft.Resources
	// queuesByHost has the queues of each host, those with the longest path prefix first.
	queuesByHost map[string][]croft.Queue
}

// NewIndex returns an Index of the queues in a configuration.
func NewIndex(config croft.QueueConfig) *Index {
	x := &Index{
		Version: config.Version, BodyBytes: config.BodyBytes, HeaderBytes: config.HeaderBytes,
		HeaderTimeout: config.HeaderTimeout, IdleTimeout: config.IdleTimeout,
		keys: orgs.NewKeys(config.Organisations), caps: map[croft.OrganisationID]croft.Resources{}, queuesByHost: map[string][]croft.Queue{},
	}
	for _, o := range config.Organisations {
		x.caps[o.ID] = o.Cap
	}
	for _, q := range config.Queues {
		q.Public = q.Public || !config.RequiresKeys
		x.queuesByHost[q.Host] = append(x.queuesByHost[q.Host], q)
	}
	for _, queues := range x.queuesByHost {
		slices.SortStableFunc(queues, func(a, b croft.Queue) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return x
}

// Find returns the queue of the host with the longest prefix of the path, and whether there is one.
func (x *Index) Find(host, path string) (croft.Queue, bool) {
	for _, q := range x.queuesByHost[host] {
		if strings.HasPrefix(path, q.Prefix) {
			return q, true
		}
	}
	return croft.Queue{}, false
}

// Authenticate returns the organisation as which a caller uses a queue, none for a public queue, and whether the caller may use
// the queue; authorization is the header of the request.
func (x *Index) Authenticate(q croft.Queue, authorization string) (croft.OrganisationID, bool) {
	if q.Public {
		return "", true
	}
	return x.keys.Authenticate(authorization)
}

// Cap returns the cap of an organisation, which limits nothing if it has none.
func (x *Index) Cap(org croft.OrganisationID) croft.Resources { return x.caps[org] }
