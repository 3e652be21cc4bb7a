package dispatch_test

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/dispatch"
	"github.com/cranberrywalk/cranberrywalk/request"
	"github.com/cranberrywalk/cranberrywalk/retry"
)

// promises are the statuses that callers and proxies take for "not run".
var promises = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// endingChooser chooses each backend server once and then fails.
type endingChooser struct {
	*fakeChooser
	chosen int
	// end is the failure after the last backend server.
	end error
}

func (f *endingChooser) Choose(request.Request, []string, time.Time) (dispatch.Target, error) {
	if f.chosen == len(f.targets) {
		return dispatch.Target{}, f.end
	}
	f.chosen++
	return f.targets[f.chosen-1], nil
}

// ending is why no further attempt of a request is made.
type ending struct {
	name string
	// cause is the failure of the choice.
	cause error
	// isBudgetSpent is true if no retry is left after the first attempt.
	isBudgetSpent bool
}

// TestStatusSpeaksForAllAttempts guards against a status that says "not run" for the last
// attempt alone, after an attempt that was written and whose end is not known.
func TestStatusSpeaksForAllAttempts(t *testing.T) {
	endings := []ending{
		{name: "no backend server", cause: &dispatch.NoBackendError{}},
		{name: "overloaded", cause: &dispatch.OverloadError{}},
		{name: "no retry left", cause: &dispatch.NoBackendError{}, isBudgetSpent: true},
	}
	for _, faults := range [][]string{
		{}, {"refused"}, {"refused", "refused"}, {"closed"}, {"busy"}, {"crossed"}, {"crossed busy"},
		{"closed", "refused"}, {"refused", "closed"}, {"closed", "busy"}, {"crossed busy", "busy"}, {"crossed", "busy"}, {"busy", "refused"},
	} {
		for _, end := range endings {
			for _, row := range shapes {
				name := end.name + " after"
				for _, fault := range faults {
					name += " " + fault
				}
				t.Run(name+"/"+row.name, func(t *testing.T) { checkPromise(t, faults, end, row) })
			}
		}
	}
}

func checkPromise(t *testing.T, faults []string, end ending, row shape) {
	c := qt.New(t)
	var backends []behaviour
	for _, fault := range faults {
		backends = append(backends, behaviour{fault: fault})
	}
	b := newTestbed(t, backends...)
	b.Chooser = &endingChooser{fakeChooser: b.chooser, end: end.cause}
	if end.isBudgetSpent {
		b.Budget = retry.NewBudget(retry.BudgetOptions{Window: time.Second}, b.clock.Now())
	}
	r := row.make(b.clock.Now())
	w := &fakeWriter{}

	result := b.Do(context.Background(), r, w)

	checkInvariants(c, b, r, w)
	isPromise := slices.Contains(promises, result.Status)
	switch {
	case result.Outcome == request.Answered:
		// A plain service may answer with such a status.
	case b.requests() > 0:
		c.Check(result.Outcome, qt.Equals, request.Unknown)
		c.Check(isPromise, qt.IsFalse, qt.Commentf("status %d, problem: %v", result.Status, result.Problem))
		c.Check(result.RetryAfter > 0, qt.IsTrue)
	default:
		c.Check(isPromise, qt.IsTrue, qt.Commentf("status %d, problem: %v", result.Status, result.Problem))
	}
}
