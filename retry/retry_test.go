package retry

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"waxwing.example/croft"
)

// TestNothingThatMayHaveRunIsRepeated checks every policy against the rules that hold for all.
func TestNothingThatMayHaveRunIsRepeated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := NewBudget(rapid.IntRange(0, 1000).Draw(t, "share"))
		try := Try{
			Now:        croft.Millis(rapid.IntRange(0, 20).Draw(t, "now")),
			Deadline:   10,
			Repeatable: rapid.Bool().Draw(t, "repeatable"),
			Attempts:   rapid.IntRange(1, 6).Draw(t, "attempts"),
			Err:        &croft.DoubtError{},
		}
		surely := rapid.Bool().Draw(t, "surely")
		if surely {
			try.Err = &croft.RefusedError{}
		}
		allowed := try.Now < try.Deadline && (surely || try.Repeatable)
		assert.Equal(t, Always{}.Again(try).Again, allowed)
		assert.Equal(t, budget.Again(try).Again, allowed && try.Attempts < maxAttempts)
	})
}

// TestBudgetBoundsTheLoadOfAFailingPool counts attempts where every one fails.
func TestBudgetBoundsTheLoadOfAFailingPool(t *testing.T) {
	attempts := func(p Policy) int {
		count := 0
		for range 1000 {
			p.First()
			for try := (Try{Deadline: 10, Repeatable: true, Attempts: 1, Err: &croft.DoubtError{}}); ; try.Attempts++ {
				count++
				if try.Attempts == 20 || !p.Again(try).Again {
					break
				}
			}
		}
		return count
	}
	bounded := attempts(NewBudget(100))
	assert.Assert(t, bounded > 1000 && bounded <= 1000+100+maxTokens/firstCost, "%d attempts", bounded)
	assert.Equal(t, attempts(Always{}), 20*1000)
}
