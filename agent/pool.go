package agent

import (
	"time"

	"github.com/panjf2000/ants/v2"
)

// goroutinePool runs functions on reused goroutines: with thousands of orders a second, each new
// goroutine would have to grow its stack again.
type goroutinePool struct{ pool *ants.Pool }

// idleExpiry is how long an idle goroutine is kept: longer than the few seconds between changes of the
// load, so that the goroutines can be reused at the next one.
const idleExpiry = 10 * time.Second

// newGoroutinePool returns a goroutine pool of unlimited size.
func newGoroutinePool() goroutinePool {
	// Size -1 means no limit, so that Submit never refuses a function because the pool is full.
	antsPool, err := ants.NewPool(-1, ants.WithExpiryDuration(idleExpiry))
	if err != nil {
		panic(err)
	}
	return goroutinePool{pool: antsPool}
}

// submit runs work on a goroutine of the pool.
func (g goroutinePool) submit(work func()) {
	if err := g.pool.Submit(work); err != nil {
		// The pool is closed; run the work on a new goroutine instead.
		go work()
	}
}
