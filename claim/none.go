package claim

import (
	"context"

	"waxwing.example/croft"
)

// None grants every claim, which is the baseline that lets requests run twice.
type None struct{}

// Claim returns nil.
func (None) Claim(context.Context, croft.Request, string) error { return nil }

// Release does nothing.
func (None) Release(context.Context, croft.Request, string) {}
