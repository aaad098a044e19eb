package audit

import (
	"net"
	"strings"

	"waxwing.example/croft"
)

func (c *checker) checkQueues() {
	ids := make([]string, 0, len(c.config.Queues))
	spare := map[croft.PoolID]bool{}
	for _, p := range c.config.Pools {
		spare[p.ID] = p.Spare
	}
	for _, q := range c.config.Queues {
		ids = append(ids, string(q.ID))
	}
	c.checkIDs(KindQueue, ids)
	first := map[[2]string]croft.QueueID{}
	for _, q := range c.config.Queues {
		c.checkAddress(q)
		c.checkQueuePool(q, spare)
		c.checkAmounts(KindQueue, string(q.ID), amount{"the priority", float64(q.Priority)}, amount{"the number of attempts", float64(q.MostAttempts)},
			amount{"the stretch", q.Stretch}, amount{"the latency", float64(q.Latency)})
		c.checkObjective(q)
		address := [2]string{q.Host, q.Prefix}
		if other, taken := first[address]; taken {
			c.add(Error, HiddenQueue, KindQueue, string(q.ID), "has the host and prefix of queue %q before it, which gets all its requests", other)
			continue
		}
		first[address] = q.ID
	}
}

// checkAddress checks that requests can match the host and the prefix.
func (c *checker) checkAddress(q croft.Queue) {
	id := string(q.ID)
	if q.Host == "" {
		c.add(Error, MissingHost, KindQueue, id, "has no host")
	}
	if _, _, err := net.SplitHostPort(q.Host); err == nil {
		c.add(Error, HostWithPort, KindQueue, id, "host %q has a port, which entries remove from the host of a request", q.Host)
	}
	if !strings.HasPrefix(q.Prefix, "/") {
		c.add(Error, InvalidPrefix, KindQueue, id, "prefix %q does not begin with a slash, as each path does", q.Prefix)
	}
}

func (c *checker) checkQueuePool(q croft.Queue, spare map[croft.PoolID]bool) {
	isSpare, declared := spare[q.Pool]
	switch {
	case !declared:
		c.add(Error, UnknownPool, KindQueue, string(q.ID), "there is no pool %q", q.Pool)
	case isSpare:
		c.add(Error, SparePool, KindQueue, string(q.ID), "pool %q is the spare pool, whose VMs are switched off", q.Pool)
	}
}

// checkObjective finds objectives that jobs miss even if they never wait. A queue with a latency only, without stretch, has the same
// objective for all jobs and is valid.
func (c *checker) checkObjective(q croft.Queue) {
	switch {
	case q.Stretch < 0 || q.Latency < 0:
	case q.Stretch == 0 && q.Latency == 0:
		c.add(Contradiction, NoObjective, KindQueue, string(q.ID), "has neither stretch nor latency, so each job is late at once")
	case q.Stretch > 0 && q.Stretch < 1:
		c.add(Contradiction, ShortStretch, KindQueue, string(q.ID), "the stretch is %v, so jobs of more than %.0f ms are late even if they never wait",
			q.Stretch, float64(q.Latency)/(1-q.Stretch))
	}
}
