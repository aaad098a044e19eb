package demo

import (
	"bytes"
	"context"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

func TestDemoEndsWell(t *testing.T) {
	out := new(bytes.Buffer)
	err := Run(context.Background(), out)
	assert.NilError(t, err, out.String())
	for _, w := range []string{"accepted", "answered", "refused", "moved", "maintained", "placed", "done"} {
		assert.Check(t, cmp.Contains(out.String(), w))
	}
}
