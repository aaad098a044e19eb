package retry

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"waxwing.example/croft"
)

// TestUnknownOutcomeIsRetriedOnlyIfRepeatable guards against running a request twice: it checks random cases of both
// policies against the rules that hold for all, and the limit on attempts of a budget.
func TestUnknownOutcomeIsRetriedOnlyIfRepeatable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := NewBudget(rapid.IntRange(0, 1000).Draw(t, "share"))
		try := Try{
			Now:        croft.Millis(rapid.IntRange(0, 20).Draw(t, "now")),
			Deadline:   10,
			Repeatable: rapid.Bool().Draw(t, "repeatable"),
			Attempts:   rapid.IntRange(1, 6).Draw(t, "attempts"),
			Err:        &croft.UnknownOutcomeError{},
		}
		notRun := rapid.Bool().Draw(t, "surely")
		if notRun {
			try.Err = &croft.RefusedError{}
		}
		allowed := try.Now < try.Deadline && (notRun || try.Repeatable)
		assert.Equal(t, Always{}.Decide(try).Retry, allowed)
		assert.Equal(t, budget.Decide(try).Retry, allowed && try.Attempts < maxAttempts)
	})
}

// TestBudgetBoundsLoadOfFailingPool guards against retries that multiply the load of a failing pool: every attempt
// fails, and a budget of a tenth may add at most a tenth and the full bucket to 1000 requests. Always makes 20 attempts
// for each, the test's own limit.
func TestBudgetBoundsLoadOfFailingPool(t *testing.T) {
	attempts := func(p Policy) int {
		count := 0
		for range 1000 {
			p.CountRequest()
			for try := (Try{Deadline: 10, Repeatable: true, Attempts: 1, Err: &croft.UnknownOutcomeError{}}); ; try.Attempts++ {
				count++
				if try.Attempts == 20 || !p.Decide(try).Retry {
					break
				}
			}
		}
		return count
	}
	budgeted := attempts(NewBudget(100))
	assert.Assert(t, budgeted > 1000 && budgeted <= 1000+100+maxTokens/retryCost, "%d attempts", budgeted)
	assert.Equal(t, attempts(Always{}), 20*1000)
}
