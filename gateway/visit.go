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

// visit is one request from its arrival to its end. It belongs to the goroutine
// that serves the request.
type visit struct {
	*Gateway
	writer   http.ResponseWriter
	request  *http.Request
	accepted time.Time
	// deadline is when the request is given up.
	deadline time.Time
	// ctx ends with the deadline and when the caller has gone.
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

	// sent counts the attempts that wrote something, and unwritten the others.
	sent, unwritten int
	// excluded are the runners that have had the request.
	excluded []string
	// firstEvent is the time to the first event, or to the whole answer of a
	// request that is no stream.
	firstEvent time.Duration
	// began is true when a runner is known to have begun to run the request.
	began bool
	// lastEvent is the last event of the stream that the caller has.
	lastEvent int
	// answered is true when the runner of the present attempt sent the head of
	// an answer.
	answered bool
	// headWritten is true when the head of the answer has been written.
	headWritten bool
	// choice is that of the present attempt.
	choice balance.Choice
	// continues is the stopped run with which the present attempt goes on, and
	// stoppedAt the runner that stopped it, until the run was sent back there.
	continues *call.StoppedRun
	stoppedAt *balance.Choice

	// mutex guards what the removal of a runner changes.
	mutex sync.Mutex
	// at is the runner at which the stream is, or empty between attempts.
	at string
	// leaving is the move of the present attempt to another runner, or nil.
	leaving *departure
}

func (v *visit) close() { v.cancel() }

// apply moves the state machine of the outcome. An event that does not apply is
// a fault of this package; the machine's view stands.
func (v *visit) apply(kind request.EventKind) {
	next, err := v.machine.Apply(request.Event{Kind: kind, Attempt: v.attemptNumber(kind)})
	if err != nil {
		v.Log.Error(err, "ImpossibleStep", "Request", v.call.ID)
		return
	}
	v.machine = next
}

func (v *visit) attemptNumber(kind request.EventKind) int {
	if kind == request.AttemptBegan {
		return v.machine.Attempt() + 1
	}
	return v.machine.Attempt()
}

// need describes the request for the choice of a runner.
func (v *visit) need() balance.Need {
	need := balance.Need{Service: v.service, Excluded: slices.Clone(v.excluded)}
	if v.engine() != nil {
		need.Prompt, need.PromptTokens = v.call.Prompt, max(v.call.PromptTokens, 1)
	}
	return need
}

func (v *visit) setChoice(choice balance.Choice) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.choice = choice
}

// choose picks the runner of the next attempt.
func (v *visit) choose() (*balance.Ticket, error) {
	choice, ticket, err := v.Balancer.Choose(v.need(), v.Clock.Now())
	if err != nil {
		return nil, err
	}
	v.setChoice(choice)
	v.Log.V(1).Info("RunnerChosen", append([]any{
		"Request", v.call.ID, "Attempt", v.machine.Attempt() + 1,
	}, v.choiceFields()...)...)
	return ticket, nil
}

// choiceFields tells what decided for the runner, and how old that knowledge is.
func (v *visit) choiceFields() []any {
	return []any{
		"Runner", v.choice.Runner.ID, "Zone", v.choice.Runner.Zone, "Cost", finite(v.choice.Cost),
		"NextCost", finite(v.choice.NextCost), "Candidates", v.choice.Candidates, "Uncached", v.choice.Uncached,
		"RunnersAgeMilliseconds", v.RunnersAge().Milliseconds(),
	}
}

// finite replaces a cost that JSON can't hold.
func finite(cost float64) float64 {
	if cost > 1e12 {
		return -1
	}
	return cost
}
