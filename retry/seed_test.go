package retry

import "flag"

// A fixed seed makes each run check the same cases.
func init() { _ = flag.Set("rapid.seed", "7") }
