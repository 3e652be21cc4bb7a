package plan_test

import (
	"fmt"
	"testing"

	"github.com/cranberrywalk/cranberrywalk/plan"
)

// largeState has 100 plans of 20 customers each.
func largeState(b *testing.B) plan.State {
	var plans []plan.Plan
	for i := range 100 {
		var keys []string
		for j := range 20 {
			keys = append(keys, fmt.Sprint(i, "-", j))
		}
		plans = append(plans, planOf(fmt.Sprint("p", i), keys...))
	}
	payload, err := publishPlans("1", 0, plans...).Encode()
	if err != nil {
		b.Fatal(err)
	}
	state, _ := plan.State{}.Apply(0, payload)
	return state
}

// BenchmarkApplyAmendment amends one of 100 plans and reports the size of
// the snapshot.
func BenchmarkApplyAmendment(b *testing.B) {
	state := largeState(b)
	size := len(state.Snapshot())
	for b.Loop() {
		amendment := plan.Change{
			Identity: fmt.Sprint("a", state.Offset()), Base: state.Version(plan.ListPlans),
			List: plan.ListPlans, Kind: plan.KindAmend, Plans: []plan.Plan{planOf("p7", "new")},
		}
		payload, _ := amendment.Encode()
		var verdict plan.Verdict
		if state, verdict = state.Apply(state.Offset(), payload); !verdict.Accepted {
			b.Fatal(verdict.Err)
		}
	}
	b.ReportMetric(float64(size), "snapshotB")
}

// BenchmarkAuthenticate looks up a key among 2,000 customers.
func BenchmarkAuthenticate(b *testing.B) {
	state := largeState(b)
	for b.Loop() {
		_, _, _, _ = state.Authenticate("50-10")
	}
}
