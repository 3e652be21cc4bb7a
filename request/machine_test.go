package request_test

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/cranberrywalk/cranberrywalk/request"
)

func TestOutcomes(t *testing.T) {
	once := request.Request{}
	keyed := request.Request{Key: "key"}
	repeatable := request.Request{Idempotent: true}
	keyedRepeatable := request.Request{Idempotent: true, Key: "key"}
	const (
		won, lost       = request.ClaimWon, request.ClaimLost
		began, failed   = request.AttemptBegan, request.AttemptFailed
		unwritten, gave = request.AttemptUnwritten, request.GivenUp
		head, whole     = request.AnswerBegan, request.AnswerWhole
	)
	for _, scenario := range []struct {
		name    string
		request request.Request
		events  []request.EventKind
		outcome request.Outcome
	}{
		{"given up before anything", once, []request.EventKind{gave}, request.NotRun},
		{"given up without a claim", keyed, []request.EventKind{gave}, request.Unknown},
		{"given up with a claim", keyed, []request.EventKind{won, gave}, request.NotRun},
		{"claim lost, winner silent", keyed, []request.EventKind{lost, gave}, request.Unknown},
		{"claim lost, winner answered", keyed, []request.EventKind{lost, request.RelayAnswered}, request.Answered},
		{"claim lost, winner proved NotRun", keyed, []request.EventKind{lost, request.RelayNotRun}, request.NotRun},
		{"given up while an attempt is open", once, []request.EventKind{began, gave}, request.Unknown},
		{"given up after an unwritten attempt", once, []request.EventKind{began, unwritten, gave}, request.NotRun},
		{"second attempt after an unwritten one", keyed, []request.EventKind{won, began, unwritten, began, head, whole}, request.Answered},
		{"given up after a written attempt", once, []request.EventKind{began, failed, gave}, request.Unknown},
		{"idempotent, answered at the second try", repeatable, []request.EventKind{began, head, failed, began, head, whole}, request.Answered},
		{"idempotent, never written", repeatable, []request.EventKind{began, unwritten, gave}, request.NotRun},
		{"idempotent with a key, never written here", keyedRepeatable, []request.EventKind{gave}, request.Unknown},
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

// eventFor returns the event with the number that its attempt has.
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

func TestSuspendedRunGoesOnAndIsNeverNotRun(t *testing.T) {
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
	c.Check(m.MayAttempt(), qt.IsTrue, qt.Commentf("the run still stands where it was stopped"))
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

// TestInvariantsHoldInAnyOrder drives several daemons that have the same
// request. Events come late, twice or never, and daemons crash.
func TestInvariantsHoldInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt)
		rt.Repeat(map[string]func(*rapid.T){
			"":        w.check,
			"claim":   w.claim,
			"begin":   w.begin,
			"write":   w.write,
			"fail":    w.fail,
			"answer":  w.answer,
			"deliver": w.deliver,
			"relay":   w.relay,
			"giveUp":  w.giveUp,
			"release": w.release,
			"crash":   w.crash,
			"resend":  w.resend,
		})
	})
}
