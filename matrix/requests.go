package matrix

import (
	"fmt"
	"time"

	"github.com/cranberrywalk/cranberrywalk/dispatch"
	"github.com/cranberrywalk/cranberrywalk/ledger"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// requestScript carries one kind of request through one fault at one step.
//
// Given is a request that a caller sends to the first daemon. The fault is
// caused when the request reaches the step. Then the faults heal, the caller
// sends a request that was not answered again to the second daemon, and all
// daemons get new requests.
type requestScript struct {
	*Cluster
	step  Step
	kind requestKind
	// first gets the request, second and third get what is sent again.
	first  *node
	second *node
	third  *node
	// firstSendDone is closed when the first sending has ended.
	firstSendDone chan struct{}
	// background are closed by the goroutines that the fault has started.
	background []chan struct{}
	// sendCount counts what was sent.
	sendCount int
}

// requestFault is a fault in the life of a request.
type requestFault struct {
	// inject is called when the step is reached.
	inject func(s *requestScript) action
	// mayFail reports whether the first sending may end without an answer.
	mayFail func(s *requestScript) bool
	// beforeHeal is called after the first sending, before the faults heal; it may
	// be nil.
	beforeHeal func(s *requestScript)
	// excludes reports that the fault cannot strike a kind of request at a step;
	// it may be nil.
	excludes func(kind requestKind, step Step) bool
}

// appliesTo reports whether a kind of request can have the fault at the step.
func (f requestFault) appliesTo(kind requestKind, step Step) bool {
	return kind.hasStep(step) && (f.excludes == nil || !f.excludes(kind, step))
}

// runRequest runs a fault at a step for one kind of request and returns what
// did not hold.
func runRequest(fault requestFault, step Step, kind requestKind, options options, seed uint64) []error {
	w, err := newCluster(options, seed)
	if err != nil {
		return []error{err}
	}
	s := &requestScript{
		Cluster: w, step: step, kind: kind, firstSendDone: make(chan struct{}),
		first: w.nodes[0], second: w.nodes[1], third: w.nodes[2],
	}
	s.run(fault)
	w.close()
	return Check(w.record)
}

// hasStep reports whether a kind of request has the step.
func (s requestKind) hasStep(step Step) bool { return step != StepClaim || s.isKeyed() }

func (s *requestScript) run(fault requestFault) {
	cause := func() action { return fault.inject(s) }
	if s.step == StepDrain {
		cause = func() action {
			s.first.dispatcher.Drain()
			return fault.inject(s)
		}
	}
	h := s.setHook(s.first, s.step, cause)
	s.runHookAt(s.first, StepAccept)
	sent := s.send(s.first, s.newRequest())
	close(s.firstSendDone)
	reached := s.awaitHook(h)
	for _, helper := range s.background {
		<-helper
	}
	s.record.expect(reached, fmt.Sprintf("the %s did not reach step %s", s.kind, s.step))
	answered := sent.Result.Outcome == request.Answered
	s.record.expect(answered || sent.Lost || fault.mayFail(s),
		fmt.Sprintf("the %s at step %s is %s: %v", s.kind, s.step, sent.Result.Outcome, sent.Result.Problem))
	s.recordPlannedStop()
	if fault.beforeHeal != nil {
		fault.beforeHeal(s)
	}
	s.heal()
	s.exchangeAll()
	s.sendAgain(sent)
	s.sendNew()
}

// newRequest returns the next sending of the case's request.
func (s *requestScript) newRequest() request.Request {
	s.sendCount++
	return s.kind.newRequest(fmt.Sprintf("r%d%s", s.sendCount, s.suffix), s.Clock.Now())
}

// recordPlannedStop ends the planned stop of the first daemon, if one has begun.
func (s *requestScript) recordPlannedStop() {
	if s.step != StepDrain || s.first.isDead() {
		return
	}
	stop := Stop{Daemon: s.first.name}
	select {
	case <-s.first.dispatcher.Done():
	default:
		stop.Err = &dispatch.DrainError{InFlight: s.first.dispatcher.InFlight()}
	}
	s.record.update(func() { s.record.Stops = append(s.record.Stops, stop) })
}

// sendAgain does what the caller of a request without an answer may do: it
// sends the request to another daemon. A request that was not run is answered
// then.
func (s *requestScript) sendAgain(sent *ClientCall) {
	if sent.Result.Outcome == request.Answered || s.kind == kindUnkeyedCall {
		return
	}
	if sent.Result.Outcome == request.NotRun && sent.Request.Key != "" {
		s.awaitRelease(sent.Request)
	}
	again := s.send(s.second, s.newRequest())
	if sent.Result.Outcome == request.NotRun || s.kind.isIdempotent() {
		s.expectAnswer(again)
	}
}

func (s *requestScript) expectAnswer(sent *ClientCall) {
	refused := s.hasCrashes() && sent.Request.Path != harmlessPath
	s.record.expect(refused || sent.Result.Outcome == request.Answered,
		fmt.Sprintf("%s at %s is %s: %v", sent.Request.ID, sent.Daemon, sent.Result.Outcome, sent.Result.Problem))
}

// awaitRelease waits until no daemon holds the key of a request.
func (s *requestScript) awaitRelease(r request.Request) {
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
func (w *Cluster) await(condition func() bool) bool {
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
func (s *requestScript) sendNew() {
	s.Clock.Advance(LeavingGrace + time.Second)
	for i, n := range s.nodes {
		if n.isDead() || n == s.first && s.step == StepDrain {
			continue
		}
		r := kindStreamedChat.newRequest(fmt.Sprintf("new-%d%s", i+1, s.suffix), s.Clock.Now())
		if s.hasCrashes() {
			r = kindRead.newRequest(r.ID, s.Clock.Now())
			r.Path = harmlessPath
		}
		s.expectAnswer(s.send(n, r))
	}
}

// hasCrashes reports whether requests with the content of the case have
// crashed backend servers.
func (s *requestScript) hasCrashes() bool {
	poisoned := false
	s.record.update(func() { poisoned = len(s.record.Crashes) > 0 })
	return poisoned
}

// runInBackground runs a part of the fault beside the request.
func (s *requestScript) runInBackground(run func()) {
	done := make(chan struct{})
	s.background = append(s.background, done)
	go func() {
		defer close(done)
		run()
	}()
}

// hangUntilTimeout lets the connection go silent until the request has given
// it up. The count of progress was taken before the fault.
func (s *requestScript) hangUntilTimeout(start int) action {
	s.runInBackground(func() { s.advanceUntilProgress(start, 10*time.Second) })
	return hang
}

// hangLogUntilTimeout lets appends hang until one has been given up.
func (s *requestScript) hangLogUntilTimeout(fault logFault) {
	s.log.setFault(fault)
	s.runInBackground(func() {
		if !s.awaitHungAppend() {
			return
		}
		s.Clock.Advance(ledger.DefaultOptions().AppendTimeout)
		if s.awaitHungAppend() {
			s.log.setFault(logWorks)
		}
	})
}

// awaitHungAppend waits until an append waits in vain. It returns false when the
// first sending ends without one.
func (s *requestScript) awaitHungAppend() bool {
	select {
	case <-s.log.hungAppends:
		return true
	case <-s.firstSendDone:
		return false
	}
}

// sendWhilePaused sends the request to the second daemon while the first one
// answers nobody.
func (s *requestScript) sendWhilePaused() {
	s.first.setPaused(true)
	s.send(s.second, s.newRequest())
	s.first.setPaused(false)
}
