package dispatch_test

import (
	"context"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/dispatch"
	"github.com/cranberrywalk/cranberrywalk/request"
)

func TestSpentRetryBudget(t *testing.T) {
	scenarios := []struct {
		name     string
		first    behaviour
		answered bool
	}{
		{"stream breaks after tokens", behaviour{fault: "truncated", late: true}, true},
		{"stream breaks before its first token", behaviour{fault: "closed"}, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			c := qt.New(t)
			b := newBench(t, s.first, behaviour{})
			now := b.clock.Now()
			for range 100 {
				b.Budget.Withdraw(now)
			}

			result := b.Do(context.Background(), chat(now), &caller{})

			c.Assert(result.Outcome == request.Answered, qt.Equals, s.answered)
			var spent *dispatch.BudgetError
			c.Assert(errors.As(result.Problem, &spent), qt.Equals, !s.answered)
		})
	}
}
