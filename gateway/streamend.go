package gateway

import (
	"fmt"
	"time"

	"github.com/cranberrywalk/cranberrywalk/upstream"
)

// StoppedStreamError reports that the end of a stream without a length or chunks does not show
// that it is complete, since its runner was asked to stop the run.
type StoppedStreamError struct {
	Runner string
	// Stop is what is known of the request to stop the run.
	Stop string
}

// Error implements error.
func (e *StoppedStreamError) Error() string {
	return fmt.Sprintf("the stream ended with its connection, and runner %s was asked to stop the run (%s)", e.Runner, e.Stop)
}

// deadlineUnit is the unit of the time that a runner gets, which is rounded down.
const deadlineUnit = time.Millisecond

// checkEnd fails if an answer that has ended may be incomplete. A length or the last chunk proves
// that it is complete. The end of the connection does only if the daemon can't have caused it.
func (x *exchange) checkEnd(a *attempt, answer *upstream.Answer) error {
	if answer.IsDelimited() {
		return nil
	}
	if x.timeLeft(x.Clock.Now()) < deadlineUnit {
		// The runner may have stopped its work since its time is over.
		<-a.ctx.Done()
		return x.readFailure(a, a.ctx.Err())
	}
	return x.checkRunStops(a)
}

// checkRunStops fails if a request to stop the run may have ended the answer of an attempt. If the
// runner has not answered such a request, its answer is awaited.
func (x *exchange) checkRunStops(a *attempt) error {
	for _, stop := range x.runStopsAt(a.choice.Runner.ID) {
		select {
		case <-stop.settled:
		case <-a.ctx.Done():
			return x.readFailure(a, a.ctx.Err())
		}
		if stop.mayHaveEnded(a) {
			cause := &StoppedStreamError{Runner: stop.runner, Stop: string(stop.outcome)}
			return &upstream.InvalidAnswerError{Address: a.choice.Runner.Address, Cause: cause}
		}
	}
	return nil
}

// runStopsAt returns the requests to stop a run that a runner got, in order.
func (x *exchange) runStopsAt(runner string) []*runStop {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	var stops []*runStop
	for _, stop := range x.runStops {
		if stop.runner == runner {
			stops = append(stops, stop)
		}
	}
	return stops
}

// mayHaveEnded reports whether the request, which is settled, may have ended the stream of an
// attempt at its runner. One of which nothing is known may also be carried out in a later attempt.
func (s *runStop) mayHaveEnded(a *attempt) bool {
	switch s.outcome {
	case stopRefused, stopNeverSent:
		return false
	case stopDone:
		return a.number <= s.lastAttempt
	default:
		return true
	}
}

// observeStreamEnd counts the end of a stream by its framing. It logs the end of one whose
// framing does not show whether it is complete, if the daemon has asked the runner to stop the
// run or knows that it leaves.
func (x *exchange) observeStreamEnd(a *attempt, answer *upstream.Answer, failure error) {
	if failure == nil {
		x.Count("Streams.CompleteBy."+string(answer.Framing()), 1)
	}
	runner := a.choice.Runner
	stops, leaves := x.runStopsAt(runner.ID), x.Balancer.IsLeaving(runner)
	if answer.IsDelimited() || len(stops) == 0 && !leaves {
		return
	}
	fields := []any{"Request", x.call.ID, "Attempt", a.number, "Runner", runner.ID, "RunnerLeaves", leaves, "Complete", failure == nil, "LastEvent", x.lastEvent}
	if len(stops) > 0 {
		fields = append(fields, x.stopFields(stops[len(stops)-1])...)
	}
	if failure != nil {
		fields = append(fields, "Cause", failure.Error())
	}
	x.Count("Streams.EndedByConnectionAtMove", 1)
	x.Log.Info("StreamEndedByConnection", fields...)
}

// stopFields returns the log fields of a request to stop a run.
func (x *exchange) stopFields(s *runStop) []any {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return []any{"Stop", string(s.outcome), "StopMilliseconds", x.Clock.Since(s.sentAt).Milliseconds()}
}
