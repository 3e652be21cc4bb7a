package plan_test

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/plan"
)

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func planOf(name string, keys ...string) plan.Plan {
	built := plan.Plan{Name: name, FirstToken: plan.Duration(400 * time.Millisecond)}
	for _, key := range keys {
		built.Customers = append(built.Customers, plan.Customer{Name: "c-" + key, KeyHashes: []string{hashOf(key)}})
	}
	return built
}

func publishPlans(identity string, base uint64, plans ...plan.Plan) plan.Change {
	return plan.Change{Identity: identity, Base: base, List: plan.ListPlans, Kind: plan.KindPublish, Plans: plans}
}

func publishAllowances(identity string, base uint64, allowances ...plan.Allowance) plan.Change {
	return plan.Change{Identity: identity, Base: base, List: plan.ListAllowances, Kind: plan.KindPublish, Allowances: allowances}
}

func payloadOf(c *qt.C, change plan.Change) []byte {
	payload, err := change.Encode()
	c.Assert(err, qt.IsNil)
	return payload
}

// applyAll applies payloads from offset 0 and returns the last verdict.
func applyAll(payloads ...[]byte) (state plan.State, verdict plan.Verdict) {
	for offset, payload := range payloads {
		state, verdict = state.Apply(uint64(offset), payload)
	}
	return state, verdict
}

func TestAuthenticate(t *testing.T) {
	c := qt.New(t)
	state, verdict := applyAll(
		payloadOf(c, publishPlans("1", 0, planOf("gold", "k1"), planOf("bare", "k2"))),
		payloadOf(c, publishAllowances("2", 0, plan.Allowance{Plan: "gold", Models: []string{"m"}, Zones: []string{"a"}})),
	)
	c.Assert(verdict, qt.DeepEquals, plan.Verdict{Accepted: true, Identity: "2"})

	customer, gold, allowance, err := state.Authenticate("k1")
	c.Assert(err, qt.IsNil)
	c.Assert(customer.Name, qt.Equals, "c-k1")
	c.Assert(gold.Name, qt.Equals, "gold")
	c.Assert(allowance.PermitModel("m"), qt.IsNil)
	c.Assert(allowance.AllowsVM("a", "any"), qt.IsTrue)
	c.Assert(allowance.AllowsVM("b", "any"), qt.IsFalse)

	var forbidden *plan.ForbiddenError
	c.Assert(errors.As(allowance.PermitService("s"), &forbidden), qt.IsTrue)
	c.Assert(*forbidden, qt.Equals, plan.ForbiddenError{Plan: "gold", List: plan.ListAllowances, Field: "Services", Value: "s"})

	_, _, _, err = state.Authenticate("k2")
	var none *plan.NoAllowanceError
	c.Assert(errors.As(err, &none), qt.IsTrue)
	c.Assert(none.Plan, qt.Equals, "bare")

	_, _, _, err = state.Authenticate("k3")
	var unknown *plan.UnknownCustomerError
	c.Assert(errors.As(err, &unknown), qt.IsTrue)
}

func TestApplyRejectsInvalidRecordWithTypedError(t *testing.T) {
	first := publishPlans("1", 0, planOf("gold", "k1"))
	for _, scenario := range []struct {
		name    string
		payload string
		want    error
	}{
		{"malformed", `{`, &plan.InvalidError{Reason: "unexpected EOF"}},
		{"unknown field of the change", `{"Identity":"2","Color":1}`,
			&plan.InvalidError{Field: "Color", Reason: `json: unknown field "Color"`}},
		{"unknown field of an entry", `{"Identity":"2","Base":1,"List":"Plans","Kind":"Amend","Plans":[{"Name":"p","Color":1}]}`,
			&plan.InvalidError{List: "Plans", Entry: "p", Field: "Color", Reason: `json: unknown field "Color"`}},
		{"bad duration", `{"Identity":"2","Base":1,"List":"Plans","Kind":"Amend","Plans":[{"Name":"p","Deadline":"soon"}]}`,
			&plan.InvalidError{List: "Plans", Entry: "p", Field: "Deadline", Reason: `"soon" is not a duration such as "400ms"`}},
		{"bad hash", `{"Identity":"2","Base":1,"List":"Plans","Kind":"Amend","Plans":[{"Name":"p","Customers":[{"Name":"c","KeyHashes":["00"]}]}]}`,
			&plan.InvalidError{List: "Plans", Entry: "p", Field: "Customers[0].KeyHashes[0]", Reason: "is not a SHA-256 sum in hexadecimal"}},
		{"key of another plan", `{"Identity":"2","Base":1,"List":"Plans","Kind":"Amend","Plans":[{"Name":"p","Customers":[{"Name":"c","KeyHashes":["` + hashOf("k1") + `"]}]}]}`,
			&plan.InvalidError{List: "Plans", Entry: "p", Field: "Customers[0].KeyHashes[0]", Reason: "is in the list already"}},
		{"missing entry", `{"Identity":"2","Base":1,"List":"Plans","Kind":"Remove","Entry":"p"}`,
			&plan.InvalidError{List: "Plans", Entry: "p", Field: "Entry", Reason: `"p" is not in the list`}},
		{"priority", `{"Identity":"2","Base":0,"List":"Allowances","Kind":"Amend","Allowances":[{"Plan":"p","Priority":1001}]}`,
			&plan.InvalidError{List: "Allowances", Entry: "p", Field: "Priority", Reason: "1001 is outside -1000 to 1000"}},
		{"stale base", `{"Identity":"2","Base":0,"List":"Plans","Kind":"Publish"}`,
			&plan.StaleBaseError{List: "Plans", Base: 0, Current: 1}},
		{"repeated identity", `{"Identity":"1","Base":1,"List":"Plans","Kind":"Publish"}`,
			&plan.DuplicateChangeError{Identity: "1"}},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			c := qt.New(t)
			before, _ := applyAll(payloadOf(c, first))
			after, verdict := before.Apply(1, []byte(scenario.payload))
			c.Assert(verdict.Accepted, qt.IsFalse)
			c.Assert(verdict.Err, qt.DeepEquals, scenario.want)
			c.Assert(after.Offset(), qt.Equals, uint64(2))
			c.Assert(after.Plans(), qt.DeepEquals, before.Plans())
		})
	}
}

func TestSnapshotIsUsedOnlyAcrossGap(t *testing.T) {
	c := qt.New(t)
	old, _ := applyAll(payloadOf(c, publishPlans("1", 0, planOf("gold", "k1"))))
	current, _ := old.Apply(1, payloadOf(c, publishPlans("2", 1, planOf("silver", "k1"))))
	damaged := append([]byte{}, current.Snapshot()...)
	damaged[len(damaged)/2] ^= 1

	for _, scenario := range []struct {
		name     string
		state    plan.State
		offset   uint64
		snapshot []byte
		accepted bool
		want     uint64
	}{
		{"old snapshot at the next offset", current, 2, old.Snapshot(), false, 3},
		{"duplicate", current, 1, current.Snapshot(), false, 2},
		{"old after a gap", current, 9, old.Snapshot(), false, 2},
		{"damaged after a gap", plan.State{}, 9, damaged, false, 0},
		{"truncated after a gap", plan.State{}, 9, current.Snapshot()[:40], false, 0},
		{"newer than its own record", plan.State{}, 1, current.Snapshot(), false, 0},
		{"newer after a gap", plan.State{}, 9, current.Snapshot(), true, 2},
	} {
		c.Run(scenario.name, func(c *qt.C) {
			state, verdict := scenario.state.Apply(scenario.offset, scenario.snapshot)
			c.Assert(verdict.Accepted, qt.Equals, scenario.accepted)
			c.Assert(verdict.Err == nil, qt.Equals, scenario.accepted)
			c.Assert(state.Offset(), qt.Equals, scenario.want)
		})
	}
}

func TestRecordAfterGapIsNotApplied(t *testing.T) {
	c := qt.New(t)
	follower := plan.NewFollower(plan.State{}).WithTrimmed(4)
	c.Assert(follower.HasGap(), qt.IsTrue)

	follower, verdict := follower.Apply(hosting.Record{Offset: 4, Payload: payloadOf(c, publishPlans("1", 0))})
	c.Assert(verdict.Err, qt.DeepEquals, &plan.GapError{Expected: 0, Offset: 4})
	c.Assert(follower.NextOffset(), qt.Equals, uint64(5))

	follower, _ = follower.Apply(hosting.Record{Offset: 5, Payload: plan.NewStateAt(5).Snapshot()})
	c.Assert(follower.HasGap(), qt.IsFalse)
	c.Assert(follower.NextOffset(), qt.Equals, uint64(5))
}
