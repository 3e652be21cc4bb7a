package matrix

import (
	"fmt"
	"time"

	"github.com/cranberrywalk/cranberrywalk/dispatch"
	"github.com/cranberrywalk/cranberrywalk/ledger"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// script carries one kind of request through one fault at one step.
//
// Given is a request that a caller sends to the first daemon. The fault is
// caused when the request reaches the step. Then the faults heal, the caller
// sends a request that was not answered again to the second daemon, and all
// daemons get new requests.
type script struct {
	*World
	step  Step
	shape shape
	// first gets the request, second and third get what is sent again.
	first  *node
	second *node
	third  *node
	// over is closed when the first sending has ended.
	over chan struct{}
	// helpers are closed by the goroutines that the fault has started.
	helpers []chan struct{}
	// sendings counts what was sent.
	sendings int
}

// requestFault is a fault in the life of a request.
type requestFault struct {
	// cause is called when the step is reached.
	cause func(s *script) action
	// mayFail reports whether the first sending may end without an answer.
	mayFail func(s *script) bool
	// then is called after the first sending, before the faults heal; it may
	// be nil.
	then func(s *script)
	// lacks reports that the fault cannot strike a kind of request at a step;
	// it may be nil.
	lacks func(kind shape, step Step) bool
}

// strikes reports whether a kind of request can have the fault at the step.
func (f requestFault) strikes(kind shape, step Step) bool {
	return kind.applies(step) && (f.lacks == nil || !f.lacks(kind, step))
}

// runRequest runs a fault at a step for one kind of request and returns what
// did not hold.
func runRequest(fault requestFault, step Step, kind shape, options options, seed uint64) []error {
	w, err := newWorld(options, seed)
	if err != nil {
		return []error{err}
	}
	s := &script{
		World: w, step: step, shape: kind, over: make(chan struct{}),
		first: w.nodes[0], second: w.nodes[1], third: w.nodes[2],
	}
	s.run(fault)
	w.close()
	return Check(w.record)
}

// applies reports whether a kind of request has the step.
func (s shape) applies(step Step) bool { return step != StepClaim || s.isKeyed() }

func (s *script) run(fault requestFault) {
	cause := func() action { return fault.cause(s) }
	if s.step == StepDrain {
		cause = func() action {
			s.first.dispatcher.Drain()
			return fault.cause(s)
		}
	}
	h := s.at(s.first, s.step, cause)
	s.reachAt(s.first, StepAccept)
	sent := s.send(s.first, s.newRequest())
	close(s.over)
	reached := s.isReached(h)
	for _, helper := range s.helpers {
		<-helper
	}
	s.record.expect(reached, fmt.Sprintf("the %s did not reach step %s", s.shape, s.step))
	answered := sent.Result.Outcome == request.Answered
	s.record.expect(answered || sent.Lost || fault.mayFail(s),
		fmt.Sprintf("the %s at step %s is %s: %v", s.shape, s.step, sent.Result.Outcome, sent.Result.Problem))
	s.stopFirst()
	if fault.then != nil {
		fault.then(s)
	}
	s.heal()
	s.spread()
	s.sendAgain(sent)
	s.sendNew()
}

// newRequest returns the next sending of the case's request.
func (s *script) newRequest() request.Request {
	s.sendings++
	return s.shape.newRequest(fmt.Sprintf("r%d%s", s.sendings, s.suffix), s.Clock.Now())
}

// stopFirst ends the planned stop of the first daemon, if one has begun.
func (s *script) stopFirst() {
	if s.step != StepDrain || s.first.isDead() {
		return
	}
	stop := Stop{Daemon: s.first.name}
	select {
	case <-s.first.dispatcher.Done():
	default:
		stop.Err = &dispatch.DrainError{InFlight: s.first.dispatcher.InFlight()}
	}
	s.record.with(func() { s.record.Stops = append(s.record.Stops, stop) })
}

// sendAgain does what the caller of a request without an answer may do: it
// sends the request to another daemon. A request that was not run is answered
// then.
func (s *script) sendAgain(sent *Sending) {
	if sent.Result.Outcome == request.Answered || s.shape == shapeCharge {
		return
	}
	if sent.Result.Outcome == request.NotRun && sent.Request.Key != "" {
		s.awaitReleased(sent.Request)
	}
	again := s.send(s.second, s.newRequest())
	if sent.Result.Outcome == request.NotRun || s.shape.isIdempotent() {
		s.expectAnswer(again)
	}
}

func (s *script) expectAnswer(sent *Sending) {
	refused := s.isPoisoned() && sent.Request.Path != freshPath
	s.record.expect(refused || sent.Result.Outcome == request.Answered,
		fmt.Sprintf("%s at %s is %s: %v", sent.Request.ID, sent.Daemon, sent.Result.Outcome, sent.Result.Problem))
}

// awaitReleased waits until no daemon holds the key of a request.
func (s *script) awaitReleased(r request.Request) {
	released := s.await(func() bool {
		for _, n := range s.nodes {
			if _, held := n.ledger.Look(r.Key); held && !n.isDead() {
				return false
			}
		}
		return true
	})
	s.record.expect(released, "the key stays claimed after NotRun")
}

// await polls until the condition holds. It returns false when that takes
// longer than a case may.
func (w *World) await(condition func() bool) bool {
	bound := time.Now().Add(caseBound)
	for !condition() {
		if time.Now().After(bound) {
			return false
		}
		time.Sleep(pollInterval)
	}
	return true
}

// sendNew sends new requests to all daemons, after the grace for leaving
// backend servers has passed.
func (s *script) sendNew() {
	s.Clock.Advance(LeavingGrace + time.Second)
	for i, n := range s.nodes {
		if n.isDead() || n == s.first && s.step == StepDrain {
			continue
		}
		r := shapeChat.newRequest(fmt.Sprintf("new-%d%s", i+1, s.suffix), s.Clock.Now())
		if s.isPoisoned() {
			r = shapeRead.newRequest(r.ID, s.Clock.Now())
			r.Path = freshPath
		}
		s.expectAnswer(s.send(n, r))
	}
}

// isPoisoned reports whether requests with the content of the case have
// crashed backend servers.
func (s *script) isPoisoned() bool {
	poisoned := false
	s.record.with(func() { poisoned = len(s.record.Crashes) > 0 })
	return poisoned
}

// help runs a part of the fault beside the request.
func (s *script) help(run func()) {
	done := make(chan struct{})
	s.helpers = append(s.helpers, done)
	go func() {
		defer close(done)
		run()
	}()
}

// hangUntilGivenUp lets the connection go silent until the request has given
// it up. The count of progress was taken before the fault.
func (s *script) hangUntilGivenUp(start int) action {
	s.help(func() { s.advanceUntilProgress(start, 10*time.Second) })
	return hang
}

// hangLog lets appends hang until one has been given up.
func (s *script) hangLog(fault logFault) {
	s.log.set(fault)
	s.help(func() {
		if !s.isLogAwaited() {
			return
		}
		s.Clock.Advance(ledger.DefaultOptions().AppendTimeout)
		if s.isLogAwaited() {
			s.log.set(logWorks)
		}
	})
}

// isLogAwaited waits until an append waits in vain. It returns false when the
// first sending ends without one.
func (s *script) isLogAwaited() bool {
	select {
	case <-s.log.waiting:
		return true
	case <-s.over:
		return false
	}
}

// sendWhilePaused sends the request to the second daemon while the first one
// answers nobody.
func (s *script) sendWhilePaused() {
	s.first.setPaused(true)
	s.send(s.second, s.newRequest())
	s.first.setPaused(false)
}
