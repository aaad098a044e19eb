package claim

import (
	"context"

	"waxwing.example/croft"
)

// None grants every claim, so that requests may run twice; it is the baseline for comparisons.
type None struct{}

// Claim grants the claim to any attempt.
func (None) Claim(context.Context, croft.Request, string) error { return nil }

// Release does nothing.
func (None) Release(context.Context, croft.Request, string) {}
