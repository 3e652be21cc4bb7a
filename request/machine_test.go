package request_test

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/cranberrywalk/cranberrywalk/request"
)

func TestOutcomes(t *testing.T) {
	nonIdempotent := request.Request{}
	keyed := request.Request{Key: "key"}
	idempotent := request.Request{Idempotent: true}
	keyedIdempotent := request.Request{Idempotent: true, Key: "key"}
	const (
		won, lost         = request.ClaimWon, request.ClaimLost
		began, failed     = request.AttemptBegan, request.AttemptFailed
		unwritten, gaveUp = request.AttemptUnwritten, request.GivenUp
		head, whole       = request.AnswerBegan, request.AnswerWhole
	)
	for _, scenario := range []struct {
		name    string
		request request.Request
		events  []request.EventKind
		outcome request.Outcome
	}{
		{"given up before the first attempt", nonIdempotent, []request.EventKind{gaveUp}, request.NotRun},
		{"given up without a claim", keyed, []request.EventKind{gaveUp}, request.Unknown},
		{"given up with a claim", keyed, []request.EventKind{won, gaveUp}, request.NotRun},
		{"claim lost, holder does not respond", keyed, []request.EventKind{lost, gaveUp}, request.Unknown},
		{"claim lost, holder answered", keyed, []request.EventKind{lost, request.RelayAnswered}, request.Answered},
		{"claim lost, holder proved NotRun", keyed, []request.EventKind{lost, request.RelayNotRun}, request.Unknown},
		{"given up while an attempt is open", nonIdempotent, []request.EventKind{began, gaveUp}, request.Unknown},
		{"given up after an unwritten attempt", nonIdempotent, []request.EventKind{began, unwritten, gaveUp}, request.NotRun},
		{"second attempt after an unwritten one", keyed, []request.EventKind{won, began, unwritten, began, head, whole}, request.Answered},
		{"given up after a written attempt", nonIdempotent, []request.EventKind{began, failed, gaveUp}, request.Unknown},
		{"idempotent, answered at the second attempt", idempotent, []request.EventKind{began, head, failed, began, head, whole}, request.Answered},
		{"idempotent, never written", idempotent, []request.EventKind{began, unwritten, gaveUp}, request.NotRun},
		{"idempotent with a key, not written by this daemon", keyedIdempotent, []request.EventKind{gaveUp}, request.Unknown},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			c := qt.New(t)
			m := request.NewMachine(scenario.request)
			for _, kind := range scenario.events {
				next, err := m.Apply(eventFor(m, kind))
				c.Assert(err, qt.IsNil)
				m = next
			}
			c.Assert(m.Outcome(), qt.Equals, scenario.outcome)
			c.Assert(m.State(), qt.Equals, request.Ended)
		})
	}
}

// eventFor returns an event of the kind with the attempt number that m expects.
func eventFor(m request.Machine, kind request.EventKind) request.Event {
	event := request.Event{Kind: kind, Attempt: m.Attempt()}
	if kind == request.AttemptBegan {
		event.Attempt++
	}
	return event
}

func TestSecondWriteIsRefused(t *testing.T) {
	c := qt.New(t)
	m := request.NewMachine(request.Request{})
	m, err := m.Apply(request.Event{Kind: request.AttemptBegan, Attempt: 1})
	c.Assert(err, qt.IsNil)
	m, err = m.Apply(request.Event{Kind: request.AttemptFailed, Attempt: 1})
	c.Assert(err, qt.IsNil)

	after, err := m.Apply(request.Event{Kind: request.AttemptBegan, Attempt: 2})

	var refused *request.TransitionError
	c.Assert(errors.As(err, &refused), qt.IsTrue)
	c.Assert(after, qt.Equals, m)
}

func TestSuspendedRunContinuesAndIsNeverNotRun(t *testing.T) {
	c := qt.New(t)
	m := request.NewMachine(request.Request{})
	step := func(kind request.EventKind) {
		next, err := m.Apply(eventFor(m, kind))
		c.Assert(err, qt.IsNil)
		m = next
	}
	step(request.AttemptBegan)
	step(request.AnswerBegan)
	step(request.AttemptSuspended)
	c.Check(m.MayAttempt(), qt.IsTrue)
	step(request.AttemptBegan)
	step(request.AttemptUnwritten)
	c.Check(m.MayAttempt(), qt.IsTrue, qt.Commentf("the suspended run can still be continued"))
	step(request.AttemptBegan)
	step(request.AttemptFailed)
	c.Check(m.MayAttempt(), qt.IsFalse)
	step(request.GivenUp)
	c.Check(m.Outcome(), qt.Equals, request.Unknown)
}

func TestFingerprintCoversContentOnly(t *testing.T) {
	c := qt.New(t)
	r := request.Request{ID: "r1", Service: "loans", Kind: request.Service, Path: "/a", Body: []byte("b")}
	c.Assert(r.WithKey("key").Fingerprint(), qt.Equals, r.Fingerprint())
	c.Assert(r.WithBody([]byte("c")).Fingerprint(), qt.Not(qt.Equals), r.Fingerprint())
}

// TestInvariantsHoldForAnyEventOrder drives several daemons that handle the same
// request. Events are delivered late, repeatedly or never, and daemons crash.
func TestInvariantsHoldForAnyEventOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newCluster(rt)
		rt.Repeat(map[string]func(*rapid.T){
			"":        c.check,
			"claim":   c.claim,
			"begin":   c.begin,
			"write":   c.write,
			"fail":    c.fail,
			"answer":  c.answer,
			"deliver": c.deliver,
			"relay":   c.relay,
			"giveUp":  c.giveUp,
			"release": c.release,
			"crash":   c.crash,
			"resend":  c.resend,
		})
	})
}
