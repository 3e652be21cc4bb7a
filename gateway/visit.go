package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/call"
	"github.com/cranberrywalk/cranberrywalk/catalog"
	"github.com/cranberrywalk/cranberrywalk/metric"
	"github.com/cranberrywalk/cranberrywalk/request"
	"github.com/cranberrywalk/cranberrywalk/suspect"
	"github.com/cranberrywalk/cranberrywalk/upstream"
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

// send makes an attempt at the chosen runner.
func (v *visit) send(ctx context.Context) (*upstream.Answer, error) {
	runner := v.choice.Runner
	service, _ := v.catalog.Service(v.service)
	most := 0
	if service.MaxConnections > 0 {
		share := v.options.ConnectionShare * float64(service.MaxConnections) / float64(v.Group.Known())
		most = max(int(share), 1)
	}
	v.apply(request.AttemptBegan)
	v.answered = false
	began := v.Clock.Now()
	defer func() { v.Meters.Time(v.route.Kind.String(), metric.Connect, v.Clock.Since(began)) }()
	return v.Upstream.Send(ctx, upstream.Request{
		Address: runner.Address, MostConnections: most,
		Method: v.call.Method, Target: v.call.Target, Host: v.call.Host, Body: v.call.Body,
		Header: v.Codec.RunnerHeader(v.call, v.attemptOf(runner.ID, v.Clock.Now())),
	})
}

// judge checks the head of an answer. It returns nil for an answer that the
// caller may get.
func (v *visit) judge(answer *upstream.Answer) error {
	v.answered = true
	head := v.Codec.DecodeAnswer(answer.Status, answer.Header)
	runner := v.choice.Runner.ID
	if head.NotRun {
		return &RejectedError{Runner: runner, Status: answer.Status, Replaced: head.OtherRunner}
	}
	if head.ID != "" && head.ID != v.call.ID {
		return &upstream.BrokenError{
			Address: v.choice.Runner.Address, Cause: &ForeignAnswerError{Want: v.call.ID, Got: head.ID},
		}
	}
	if !head.Signed || head.ID == "" {
		return &upstream.BrokenError{Address: v.choice.Runner.Address, Cause: &UnsignedError{Runner: runner}}
	}
	v.countBegan()
	return nil
}

// countBegan counts the request once for the customer's usage.
func (v *visit) countBegan() {
	if v.began {
		return
	}
	v.began = true
	if v.customer.Name != "" {
		v.Usage.Began(v.customer.Name, v.TrueTime.At(v.Clock.Now()))
	}
}

// settle records how an attempt failed, at the runner and for the outcome.
func (v *visit) settle(ticket *balance.Ticket, failure error) {
	now := v.Clock.Now()
	result := v.resultOf(failure)
	ticket.End(result, now)
	var unwritten *upstream.UnwrittenError
	var rejected *RejectedError
	switch {
	case errors.As(failure, &unwritten):
		v.unwritten++
		v.apply(request.AttemptUnwritten)
	case errors.As(failure, &rejected):
		v.countRejection(rejected)
		v.apply(request.AttemptUnwritten)
	default:
		v.sent++
		v.apply(request.AttemptFailed)
		v.noteCrash(failure, now)
	}
	v.excluded = append(v.excluded, v.choice.Runner.ID)
	v.Meters.Attempt(v.choice.Runner.ID, result.String())
	v.Log.Info("AttemptFailed", append([]any{
		"Request", v.call.ID, "Attempt", v.machine.Attempt(), "Result", result.String(), "Reason", failure.Error(),
		"LastEvent", v.lastEvent,
	}, v.choiceFields()...)...)
}

// countRejection counts an attempt that did not run. One that met another runner
// than was meant is no attempt at a runner of the service, and one that was to go
// on with a stopped run is part of the attempt before.
func (v *visit) countRejection(rejected *RejectedError) {
	if rejected.Replaced || v.continues != nil {
		v.unwritten++
		return
	}
	v.sent++
}

// resultOf tells what a failure says about the runner.
func (v *visit) resultOf(failure error) balance.Result {
	var unwritten *upstream.UnwrittenError
	var rejected *RejectedError
	var full *upstream.FullError
	var silent *SilentError
	var timeout interface{ Timeout() bool }
	switch {
	case errors.As(failure, &silent), v.isOverdue():
		return balance.Silent
	case v.ctx.Err() != nil, errors.As(failure, &full):
		return balance.Cancelled
	case errors.As(failure, &unwritten):
		return balance.Unreachable
	case errors.As(failure, &timeout) && timeout.Timeout():
		return balance.Silent
	case errors.As(failure, &rejected) && rejected.Replaced:
		return balance.Replaced
	case errors.As(failure, &rejected):
		return balance.Rejected
	default:
		return balance.Failed
	}
}

// isOverdue reports whether the time for the request has passed without any
// answer of the runner.
func (v *visit) isOverdue() bool {
	var overdue *DeadlineError
	return !v.answered && errors.As(context.Cause(v.ctx), &overdue)
}

// noteCrash suspects the content of a request whose runner broke off.
func (v *visit) noteCrash(failure error, now time.Time) {
	var broken *upstream.BrokenError
	var silent *SilentError
	if v.ctx.Err() != nil || !errors.As(failure, &broken) || errors.As(failure, &silent) {
		return
	}
	identity := suspect.Identity(v.call.ID, v.choice.Runner.ID, v.machine.Attempt())
	entry := v.Suspects.Add(v.fingerprint, identity, now)
	if v.Suspects.Refused(v.fingerprint, now) {
		v.Log.Info("RequestSuspected", "Request", v.call.ID, "Runner", v.choice.Runner.ID, "Crashes", len(entry.Crashes))
	}
}

// mayRetry decides after a failed attempt whether another one is made. It
// returns why not.
func (v *visit) mayRetry(failure error) (bool, string) {
	switch {
	case v.ctx.Err() != nil:
		return false, "TimeIsOver"
	case !v.machine.MayAttempt():
		return false, "MayHaveRun"
	case v.Suspects.Refused(v.fingerprint, v.Clock.Now()):
		return false, "CrashesRunners"
	}
	var unwritten *upstream.UnwrittenError
	if errors.As(failure, &unwritten) {
		return v.unwritten < v.options.MostUnwritten, "Unreachable"
	}
	if v.sent >= v.route.MaxAttempts || v.unwritten >= v.options.MostUnwritten {
		return false, "AttemptsUsedUp"
	}
	if !v.Retries.Take(v.service, v.Group.Known(), v.Clock.Now()) {
		return false, "RetryBudgetUsedUp"
	}
	v.Count("Retries", 1)
	return true, ""
}

// succeed ends an attempt whose answer the caller got.
func (v *visit) succeed(ticket *balance.Ticket, status int) {
	now := v.Clock.Now()
	result := balance.Succeeded
	if status >= http.StatusInternalServerError {
		result = balance.Failed
	}
	ticket.End(result, now)
	v.Meters.Attempt(v.choice.Runner.ID, result.String())
	v.apply(request.AnswerWhole)
	v.Suspects.Answered(v.fingerprint, now)
	v.ended(status, "Answered", nil)
}
