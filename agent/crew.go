package agent

import (
	"time"

	"github.com/panjf2000/ants/v2"
)

// crew carries out effects on goroutines that are used again: thousands of orders a second would
// each grow a new stack.
type crew struct{ pool *ants.Pool }

// crewIdle is how long a goroutine waits for more to do; turns of the load come within some seconds.
const crewIdle = 10 * time.Second

func newCrew() crew {
	// A pool without a bound refuses nothing.
	pool, err := ants.NewPool(-1, ants.WithExpiryDuration(crewIdle))
	if err != nil {
		panic(err)
	}
	return crew{pool: pool}
}

// do runs work on a goroutine of the crew.
func (c crew) do(work func()) {
	if err := c.pool.Submit(work); err != nil {
		// The pool has been closed; a goroutine of its own does as well.
		go work()
	}
}
