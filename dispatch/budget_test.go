package dispatch_test

import (
	"context"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/dispatch"
	"github.com/cranberrywalk/cranberrywalk/request"
)

func TestExhaustedRetryBudget(t *testing.T) {
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
			b := newTestbed(t, s.first, behaviour{})
			now := b.clock.Now()
			for range 100 {
				b.Budget.Withdraw(now)
			}

			result := b.Do(context.Background(), chat(now), &fakeWriter{})

			c.Assert(result.Outcome == request.Answered, qt.Equals, s.answered)
			var exhausted *dispatch.RetriesExhaustedError
			c.Assert(errors.As(result.Problem, &exhausted), qt.Equals, !s.answered)
		})
	}
}
