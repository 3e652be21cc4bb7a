package gateway

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/call"
	"github.com/cranberrywalk/cranberrywalk/catalog"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// exchange is one request from its arrival to the end of its response. It belongs
// to the goroutine that serves the request.
type exchange struct {
	*Gateway
	writer   http.ResponseWriter
	request  *http.Request
	accepted time.Time
	// deadline is when the request times out.
	deadline time.Time
	// ctx ends at the deadline or when the caller disconnects.
	ctx    context.Context
	cancel context.CancelFunc

	call        call.Call
	catalog     *catalog.Catalog
	route       catalog.Route
	customer    catalog.Customer
	service     string
	cost        float64
	fingerprint uint64
	machine     request.Machine

	// writtenAttempts counts the attempts that wrote something to a runner, and
	// unwrittenAttempts the others.
	writtenAttempts, unwrittenAttempts int
	// excluded are the runners that the request was already sent to.
	excluded []string
	// firstEvent is the time to the first event of a stream.
	firstEvent time.Duration
	// runStarted is true when a runner is known to have started the request.
	runStarted bool
	// lastEvent is the ID of the last event that the caller has received.
	lastEvent int
	// headReceived is true when the runner of the current attempt has sent the
	// head of a response.
	headReceived bool
	// headWritten is true when the head of the response has been written to the
	// caller.
	headWritten bool
	// choice is the balancer's choice for the current attempt.
	choice balance.Choice
	// continuedRun is the stopped run that the current attempt continues.
	// stoppedAt is the choice of the runner that stopped the run; it is nil once
	// the run has been sent back to that runner.
	continuedRun *call.StoppedRun
	stoppedAt    *balance.Choice
	// abandoned is the ID of the runner that was abandoned for its silence. It is
	// empty once that runner has been asked again, or if there is none.
	abandoned string

	// mutex guards the writes of choice and the fields below, which moves use
	// concurrently.
	mutex sync.Mutex
	// currentRunner is the runner that serves the stream, or empty between
	// attempts.
	currentRunner string
	// pendingMove is the move of the current attempt to another runner, or nil.
	pendingMove *streamMove
	// next is the attempt that was secured before the current one was abandoned, or
	// nil. It is not set while a move is in progress or has succeeded.
	next *nextAttempt
}

func (x *exchange) close() {
	x.releaseNext()
	x.cancel()
	x.releaseMove()
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

// balanceRequest describes the request for the choice of a runner.
func (x *exchange) balanceRequest() balance.Request {
	r := balance.Request{Service: x.service, Excluded: slices.Clone(x.excluded)}
	if x.engine() != nil {
		r.Prompt, r.PromptTokens = x.call.Prompt, max(x.call.PromptTokens, 1)
	}
	return r
}

func (x *exchange) setChoice(choice balance.Choice) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.choice = choice
}

// choose chooses the runner of the next attempt, unless that attempt is secured.
func (x *exchange) choose() (*balance.Ticket, error) {
	ticket := x.takeNext()
	if ticket == nil {
		choice, chosen, err := x.chooseRunner(x.Clock.Now())
		if err != nil {
			return nil, err
		}
		x.setChoice(choice)
		ticket = chosen
	}
	x.Log.V(1).Info("RunnerChosen", append([]any{
		"Request", x.call.ID, "Attempt", x.machine.Attempt() + 1,
	}, x.choiceFields()...)...)
	return ticket, nil
}

// choiceFields returns the log fields that explain the choice of the runner and how
// old the list of runners was.
func (x *exchange) choiceFields() []any {
	return []any{
		"Runner", x.choice.Runner.ID, "Zone", x.choice.Runner.Zone, "Cost", finite(x.choice.Cost),
		"NextCost", finite(x.choice.NextCost), "Candidates", x.choice.Candidates, "Uncached", x.choice.Uncached,
		"RunnersAgeMilliseconds", x.RunnersAge().Milliseconds(),
	}
}

// finite replaces infinite costs with -1, since JSON can't represent them.
func finite(cost float64) float64 {
	if cost > 1e12 {
		return -1
	}
	return cost
}
