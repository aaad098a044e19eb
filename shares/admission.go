package shares

import (
	"github.com/cespare/xxhash/v2"

	"waxwing.example/croft"
)

// Admits reports whether a job is within the admitted fraction; all entries decide alike, and a job that is admitted remains so at any
// higher fraction.
func Admits(id croft.JobID, fraction float64) bool {
	// The upper bits are used, since the lower ones choose the job's part of the store.
	return float64(xxhash.Sum64String(string(id))>>11)/(1<<53) < fraction
}

// minRetryAfter is the least time after which a refused caller may retry.
const minRetryAfter = 1 * croft.Second

// RetryAfter returns when the caller of a refused job may retry: after a time in which the backlog drains, spread by the job's ID over as
// long again, so that refused callers do not return all at once.
func RetryAfter(id croft.JobID, drain croft.Millis) croft.Millis {
	drain = max(drain, minRetryAfter)
	// The lower bits are independent of those by which the job was refused.
	part := float64(uint32(xxhash.Sum64String(string(id)))) / (1 << 32)
	return drain + croft.Millis(float64(drain)*part)
}
