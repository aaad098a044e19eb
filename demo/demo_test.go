package demo

import (
	"bytes"
	"context"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// TestDemoCompletesAllSteps runs the demo and looks for the line of each step in its output.
func TestDemoCompletesAllSteps(t *testing.T) {
	out := new(bytes.Buffer)
	err := Run(context.Background(), out)
	assert.NilError(t, err, out.String())
	for _, w := range []string{"accepted", "answered", "refused", "moved", "maintained", "placed", "done"} {
		assert.Check(t, cmp.Contains(out.String(), w))
	}
}
