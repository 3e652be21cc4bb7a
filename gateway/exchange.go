package gateway

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/buffer"
	"github.com/cranberrywalk/cranberrywalk/call"
	"github.com/cranberrywalk/cranberrywalk/catalog"
	"github.com/cranberrywalk/cranberrywalk/request"
	"github.com/cranberrywalk/cranberrywalk/rollout"
	"github.com/cranberrywalk/cranberrywalk/streamversion"
)

// exchange is one request from its arrival to the end of its response. It belongs
// to the goroutine that serves the request.
type exchange struct {
	*Gateway
	writer   http.ResponseWriter
	request  *http.Request
	accepted time.Time
	// received is when the body was read.
	received time.Time
	// deadline is when the request times out.
	deadline time.Time
	// ctx ends at the deadline or when the caller disconnects.
	ctx    context.Context
	cancel context.CancelFunc

	call call.Call
	// body counts the bytes of the body. It is nil before the body is read.
	body     *buffer.Body
	catalog  *catalog.Catalog
	route    catalog.Route
	customer catalog.Customer
	service  string
	cost     float64
	// segments are the IDs of the segments of the prompt that other prompts may share.
	segments []string
	// traits are what the trackers of crashes know the request by.
	traits  []trackedTraits
	machine request.Machine
	// stream identifies the stream that the request begins or resumes.
	stream streamversion.Stream
	// record is the last record of the stream's version that this exchange has begun.
	record versionRecord

	// firstEvent is the time to the first event of a stream.
	firstEvent time.Duration
	// runStarted is true when a runner is known to have started the request.
	runStarted atomic.Bool
	// headWritten is true when the head of the response has been written to the
	// caller.
	headWritten bool
	// choice is the balancer's choice for the current attempt.
	choice balance.Choice
	// continuedRun is the stopped run that the current attempt continues.
	// stoppedAt is the runner that stopped the run; it is nil once the run has been sent
	// back to that runner.
	continuedRun *call.StoppedRun
	stoppedAt    *stoppedSource
	// lastMove is the move that has stopped continuedRun. It is nil if no run was stopped, or its
	// copies are no longer needed.
	lastMove *streamMove

	// mutex guards the writes of choice, continuedRun and stoppedAt, and the fields
	// below, which moves and replacements use concurrently.
	mutex sync.Mutex
	// attempts counts the attempts of the request.
	attempts int
	// writtenAttempts counts the ended attempts that wrote something to a runner, and
	// unwrittenAttempts the others.
	writtenAttempts, unwrittenAttempts int
	// ends counts the ended attempts for the logs and metrics, and lastHead is the head of the
	// answer to the last of them.
	ends     attemptEnds
	lastHead receivedHead
	// retryGranted is when the retry budget granted the next attempt; zero once that has
	// begun.
	retryGranted time.Time
	// excluded are the runners that the request was already sent to.
	excluded []string
	// addresses are those of all attempts. Another runner may have the address of an earlier one.
	addresses []string
	// lastEvent is the ID of the last event that was forwarded to the caller.
	lastEvent int
	// assignment says which versions the last chosen attempt could use. It is zero for one that was
	// bound to a version, and isAssigned is true once there was one. uncounted is the assignment of
	// an attempt that is chosen and not yet counted.
	assignment, uncounted rollout.Assignment
	isAssigned            bool
	// held counts the stream as in flight at heldVersion, if isHeld.
	held        *rollout.Attempt
	heldVersion string
	isHeld      bool
	// version is the software version of the runners that have sent the caller events, or empty
	// before the first one. The stream goes on at no other.
	version string
	// isTyped is true if the caller has events of a stream whose response named its media type.
	isTyped bool
	// currentRunner is the runner that serves the stream, or empty between
	// attempts.
	currentRunner string
	// pendingMove is the move of the current attempt to another runner, or nil.
	pendingMove *streamMove
	// runStops are the requests to stop a run that moves have sent, in order.
	runStops []*runStop
	// watchdog watches the current attempt, or the last one between attempts. It is nil
	// before the first.
	watchdog *idleWatchdog
	// replacements is empty while the run is being stopped for a move, and afterwards.
	replacements replacements
}

func (x *exchange) close() {
	x.releaseReplacements()
	x.cancel()
	x.releaseHold()
	x.releaseMove()
	x.freeLastRun()
	x.body.Close()
}

// apply advances the state machine of the request. An event that does not apply is
// a bug in this package and leaves the state as it is.
func (x *exchange) apply(kind request.EventKind) {
	next, err := x.machine.Apply(request.Event{Kind: kind, Attempt: x.attemptNumber(kind)})
	if err != nil {
		x.Log.Error(err, "ImpossibleStep", "Request", x.call.ID)
		return
	}
	x.machine = next
}

func (x *exchange) attemptNumber(kind request.EventKind) int {
	if kind == request.AttemptBegan {
		return x.machine.Attempt() + 1
	}
	return x.machine.Attempt()
}

// balanceRequest describes the request for the choice of a runner, without the versions that it may
// use. The mutex must be held.
func (x *exchange) balanceRequest() balance.Request {
	r := balance.Request{Service: x.service, Excluded: slices.Clone(x.excluded), Continues: x.lastEvent > x.call.LastEvent}
	if x.engine() != nil {
		r.Prompt, r.PromptTokens = x.call.Prompt, max(x.call.PromptTokens, 1)
	}
	return r
}

// choose returns the next attempt: one that replaces the last one, if there is such, or
// one at a runner that the balancer chooses. If there is none, or no further one may be
// asked, the request returns to the silent runner that was abandoned.
func (x *exchange) choose() (*attempt, error) {
	if a := x.takeReplacement(); a != nil {
		return a, nil
	}
	x.mutex.Lock()
	defer x.mutex.Unlock()
	now := x.Clock.Now()
	mayReturn := x.replacements.mayReturnAfterward()
	if mayReturn && x.writtenAttempts >= x.route.MaxAttempts {
		return x.chooseSilentRunner(x.replacements.silentRunner, now)
	}
	choice, ticket, err := x.chooseRunner(x.balanceRequest(), now)
	if err == nil {
		if choice.Limited > 0 {
			x.Count("Limits.RequestsElsewhere", 1)
		}
		return x.newAttempt(choice, ticket, nil), nil
	}
	if mayReturn {
		return x.chooseSilentRunner(x.replacements.silentRunner, now)
	}
	return nil, err
}

// choiceFields returns the log fields that explain the choice of a runner.
func choiceFields(c balance.Choice) []any {
	fields := []any{
		"Runner", c.Runner.ID, "Version", c.Runner.Version, "Zone", c.Runner.Zone, "Cost", finite(c.Cost),
		"NextCost", finite(c.NextCost), "Candidates", c.Candidates, "Uncached", c.Uncached,
	}
	if c.Limited > 0 {
		fields = append(fields, "LimitedCandidates", c.Limited)
	}
	if e := c.Estimate; c.Runner.ID != "" && (e.Speed != 1 || e.Knee != 1 || c.Slowness != 1) {
		fields = append(fields, "Speed", e.Speed, "Knee", e.Knee, "SpeedSamples", e.Samples, "VMSlowness", c.Slowness)
	}
	if l := c.Limit; l.PerSecond > 0 {
		fields = append(fields, "LimitPerSecond", l.PerSecond, "LimitObservedBy", l.ObservedBy,
			"LimitAgeMilliseconds", l.Age.Milliseconds(), "LimitSharePerSecond", l.Share, "LimitSenders", l.Senders)
	}
	return fields
}

// finite replaces infinite costs with -1, since JSON can't represent them.
func finite(cost float64) float64 {
	if cost > 1e12 {
		return -1
	}
	return cost
}
