package matrix

import (
	"fmt"
	"time"

	"github.com/cranberrywalk/cranberrywalk/claimlog"
	"github.com/cranberrywalk/cranberrywalk/dispatch"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// requestScript runs one fault at one step of one kind of request.
//
// A caller sends a request to the first daemon. The fault is injected when the
// request reaches the step. Then all faults end, the caller resends a request that
// was not answered to the second daemon, and all daemons get new requests.
type requestScript struct {
	*Cluster
	step Step
	kind requestKind
	// first gets the request, second and third get resent requests.
	first  *node
	second *node
	third  *node
	// firstSendDone is closed when the first call has ended.
	firstSendDone chan struct{}
	// background holds a channel for each goroutine that the fault has started.
	// The channel is closed when the goroutine ends.
	background []chan struct{}
	// sendCount is the number of requests created so far.
	sendCount int
}

// requestFault is a fault that is injected into a request.
type requestFault struct {
	// inject is called when the request reaches the step.
	inject func(s *requestScript) action
	// mayFail reports whether the first call may end without an answer.
	mayFail func(s *requestScript) bool
	// beforeHeal is called after the first call, before the faults end; it may be
	// nil.
	beforeHeal func(s *requestScript)
	// excludes reports whether the fault cannot occur for a kind of request at a
	// step; it may be nil.
	excludes func(kind requestKind, step Step) bool
}

// appliesTo reports whether the fault can occur for a kind of request at the step.
func (f requestFault) appliesTo(kind requestKind, step Step) bool {
	return kind.hasStep(step) && (f.excludes == nil || !f.excludes(kind, step))
}

// runRequest runs a fault at a step for one kind of request and returns the
// violations.
func runRequest(fault requestFault, step Step, kind requestKind, options options, seed uint64) []error {
	cluster, err := newCluster(options, seed)
	if err != nil {
		return []error{err}
	}
	s := &requestScript{
		Cluster: cluster, step: step, kind: kind, firstSendDone: make(chan struct{}),
		first: cluster.nodes[0], second: cluster.nodes[1], third: cluster.nodes[2],
	}
	s.run(fault)
	cluster.close()
	return Check(cluster.record)
}

// hasStep reports whether the kind of request passes through the step.
func (k requestKind) hasStep(step Step) bool { return step != StepClaim || k.isKeyed() }

func (s *requestScript) run(fault requestFault) {
	inject := func() action { return fault.inject(s) }
	if s.step == StepDrain {
		inject = func() action {
			s.first.dispatcher.Drain()
			return fault.inject(s)
		}
	}
	h := s.setHook(s.first, s.step, inject)
	s.runHookAt(s.first, StepAccept)
	sent := s.send(s.first, s.newRequest())
	close(s.firstSendDone)
	reached := s.awaitHook(h)
	for _, done := range s.background {
		<-done
	}
	s.record.expect(reached, fmt.Sprintf("the %s did not reach step %s", s.kind, s.step))
	answered := sent.Result.Outcome == request.Answered
	s.record.expect(answered || sent.Lost || fault.mayFail(s),
		fmt.Sprintf("the %s at step %s has outcome %s: %v", s.kind, s.step, sent.Result.Outcome, sent.Result.Problem))
	s.recordPlannedStop()
	if fault.beforeHeal != nil {
		fault.beforeHeal(s)
	}
	s.heal()
	s.exchangeAll()
	s.sendAgain(sent)
	s.sendNew()
}

// newRequest returns the case's request with a new ID.
func (s *requestScript) newRequest() request.Request {
	s.sendCount++
	return s.kind.newRequest(fmt.Sprintf("r%d%s", s.sendCount, s.suffix), s.Clock.Now())
}

// recordPlannedStop records the result of the first daemon's drain, if it was
// started.
func (s *requestScript) recordPlannedStop() {
	if s.step != StepDrain || s.first.isDead() {
		return
	}
	stop := Stop{Daemon: s.first.name}
	select {
	case <-s.first.dispatcher.Done():
	default:
		stop.Err = &dispatch.DrainIncompleteError{InFlight: s.first.dispatcher.InFlight()}
	}
	s.record.update(func() { s.record.Stops = append(s.record.Stops, stop) })
}

// sendAgain resends an unanswered request to another daemon, as its caller may do
// unless the request is neither idempotent nor keyed. A request that was not run or
// is idempotent must get an answer from that daemon.
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
		fmt.Sprintf("%s at %s has outcome %s: %v", sent.Request.ID, sent.Daemon, sent.Result.Outcome, sent.Result.Problem))
}

// awaitRelease waits until the key of a request is unclaimed at the claimers of all
// live daemons.
func (s *requestScript) awaitRelease(r request.Request) {
	released := s.await(func() bool {
		for _, n := range s.nodes {
			if _, held := n.claimer.Lookup(r.Key); held && !n.isDead() {
				return false
			}
		}
		return true
	})
	s.record.expect(released, "the key is still claimed after NotRun")
}

// await polls until the condition holds. It returns false after caseBound.
func (c *Cluster) await(condition func() bool) bool {
	bound := time.Now().Add(caseBound)
	for !condition() {
		if time.Now().After(bound) {
			return false
		}
		time.Sleep(pollInterval)
	}
	return true
}

// sendNew sends new requests to all daemons, after LeavingGrace has passed.
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

// hasCrashes reports whether requests with the content of the case have crashed
// backend servers. Such requests are refused later.
func (s *requestScript) hasCrashes() bool {
	crashed := false
	s.record.update(func() { crashed = len(s.record.Crashes) > 0 })
	return crashed
}

// runInBackground runs a part of the fault concurrently with the request.
func (s *requestScript) runInBackground(run func()) {
	done := make(chan struct{})
	s.background = append(s.background, done)
	go func() {
		defer close(done)
		run()
	}()
}

// hangUntilTimeout hangs the connection and advances the clock until the request
// has timed out. start is the progress count before the fault.
func (s *requestScript) hangUntilTimeout(start int) action {
	s.runInBackground(func() { s.advanceUntilProgress(start, 10*time.Second) })
	return hang
}

// hangLogUntilTimeout hangs appends until one has timed out and another one hangs.
func (s *requestScript) hangLogUntilTimeout(fault logFault) {
	s.log.setFault(fault)
	s.runInBackground(func() {
		if !s.awaitHungAppend() {
			return
		}
		s.Clock.Advance(claimlog.DefaultOptions().AppendTimeout)
		if s.awaitHungAppend() {
			s.log.setFault(logWorks)
		}
	})
}

// awaitHungAppend waits until an append hangs. It returns false if the first call
// ends without one.
func (s *requestScript) awaitHungAppend() bool {
	select {
	case <-s.log.hungAppends:
		return true
	case <-s.firstSendDone:
		return false
	}
}

// sendWhilePaused sends the request to the second daemon while the first one is
// paused.
func (s *requestScript) sendWhilePaused() {
	s.first.setPaused(true)
	s.send(s.second, s.newRequest())
	s.first.setPaused(false)
}
