package matrix

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/dispatch"
	"github.com/cranberrywalk/cranberrywalk/prefix"
	"github.com/cranberrywalk/cranberrywalk/request"
	"github.com/cranberrywalk/cranberrywalk/standin/engine"
	"github.com/cranberrywalk/cranberrywalk/suspect"
)

// LeavingGrace is how long after a reclaim notice a backend server may still get
// new work from daemons that have not received the notice yet.
const LeavingGrace = 5 * time.Second

// Invariant is a property that must hold after every case.
type Invariant string

// The invariants.
const (
	// ReclaimSurvived: an accepted request survives an announced reclaim.
	ReclaimSurvived Invariant = "an accepted request survives an announced reclaim"
	// WholeAnswer: each caller gets the complete answer to its own request.
	WholeAnswer Invariant = "each caller gets the whole answer to its own request"
	// NotRunProved: a call has the outcome NotRun only if no backend server
	// received the request's key.
	NotRunProved Invariant = "NotRun means that no backend server saw the request's key"
	// AtMostOnce: a request that is not idempotent runs at most once.
	AtMostOnce Invariant = "a request that is not idempotent runs at most once"
	// LeavingGetsNoWork: a leaving backend server gets no new work after
	// LeavingGrace.
	LeavingGetsNoWork Invariant = "a leaving backend server gets no new work after the grace"
	// StopIsGraceful: a planned stop interrupts no request.
	StopIsGraceful Invariant = "a planned stop cuts off no request"
	// ConfigurationNeverReverts: an accepted configuration is in force everywhere
	// and never reverts.
	ConfigurationNeverReverts Invariant = "an accepted configuration is in force everywhere and never reverts"
	// EndsOnce: each request ends exactly once; a failed one ends without waiting
	// for its deadline and has a Retry-After unless it is refused for crashing
	// backend servers.
	EndsOnce Invariant = "each request ends exactly once, at once, with Retry-After where it helps"
	// CrashesBounded: a request crashes at most two backend servers.
	CrashesBounded Invariant = "a request that crashes backend servers is stopped after two"
	// OrdersFenced: no order is sent after one with a higher fencing token.
	OrdersFenced Invariant = "no order is given under a lease that another one follows"
	// Expectation: the expectations of the case's own script hold.
	Expectation Invariant = "the script's expectation"
)

// Check returns a *ViolationError for each violation in the record of a case.
func Check(r *Record) []error {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &checker{Record: r}
	for _, call := range r.Calls {
		c.checkEnd(call)
		c.checkAnswer(call)
		c.checkNotRun(call)
	}
	c.checkReclaims()
	c.checkRuns()
	c.checkLeaving()
	c.checkStops()
	c.checkCrashes()
	c.checkConfiguration()
	c.checkOrders()
	for _, deviation := range r.Deviations {
		c.violate(Expectation, "%s", deviation)
	}
	return c.violations
}

// checker collects the violations in one record.
type checker struct {
	*Record
	violations []error
}

func (c *checker) violate(invariant Invariant, format string, arguments ...any) {
	c.violations = append(c.violations, &ViolationError{Invariant: invariant, Detail: fmt.Sprintf(format, arguments...)})
}

// checkEnd checks that each call to a daemon that was not killed has exactly one
// outcome, and that a failed call ended before its deadline with a Retry-After.
func (c *checker) checkEnd(call *ClientCall) {
	if call.Lost {
		return
	}
	if !call.Returned || call.OutcomeCount != 1 {
		c.violate(EndsOnce, "%s at %s ended %d times", call.Request.ID, call.Daemon, call.OutcomeCount)
		return
	}
	if (call.Result.Outcome == request.Answered) != (call.Result.Problem == nil) {
		c.violate(EndsOnce, "%s at %s has outcome %s with problem %v", call.Request.ID, call.Daemon, call.Result.Outcome, call.Result.Problem)
	}
	if call.Result.Outcome == request.Answered {
		return
	}
	var late *dispatch.DeadlineError
	if !errors.As(call.Result.Problem, &late) && !call.Ended.Before(call.Request.Deadline) {
		c.violate(EndsOnce, "%s at %s failed only at its deadline", call.Request.ID, call.Daemon)
	}
	var refused *dispatch.SuspectError
	if !errors.As(call.Result.Problem, &refused) && call.Result.RetryAfter <= 0 {
		c.violate(EndsOnce, "%s at %s got no Retry-After for %v", call.Request.ID, call.Daemon, call.Result.Problem)
	}
}

// checkAnswer compares a model's answer with the text expected for the prompt, and a
// plain service's answer with the answers in the recorded runs of the same request.
func (c *checker) checkAnswer(call *ClientCall) {
	if call.OutcomeCount != 1 || call.Result.Outcome != request.Answered {
		return
	}
	if call.Request.IsModelCall() {
		text, complete := textOf(call.Request, call.Body)
		want := engine.AnswerText(prefix.Render(prompt), 0, answerTokens)
		if !complete || text != want {
			c.violate(WholeAnswer, "%s got %q, complete: %t", call.Request.ID, text, complete)
		}
		return
	}
	for _, run := range c.Runs {
		if c.isRunOf(call, run) && run.Answer == call.Body {
			return
		}
	}
	c.violate(WholeAnswer, "%s got %q, which no run of the request returned", call.Request.ID, call.Body)
}

// isRunOf reports whether a run has the request ID or the idempotency key of a call.
func (c *checker) isRunOf(call *ClientCall, run Run) bool {
	if run.Request == call.Request.ID {
		return true
	}
	return call.Request.Key != "" && run.Key == call.Request.Header["Idempotency-Key"][0]
}

// checkNotRun looks for runs that contradict the outcome NotRun: runs with the
// same key before the caller got the outcome, and runs of the call itself at any
// time.
func (c *checker) checkNotRun(call *ClientCall) {
	if call.OutcomeCount != 1 || call.Result.Outcome != request.NotRun {
		return
	}
	for _, run := range c.Runs {
		if run.Request == call.Request.ID || c.isRunOf(call, run) && run.Sequence < call.Sequence {
			c.violate(NotRunProved, "%s has outcome NotRun, but %s ran it", call.Request.ID, run.Runner)
		}
	}
}

// checkReclaims checks that all requests are answered if announced reclaims were
// the only faults.
func (c *checker) checkReclaims() {
	if len(c.NoticedAt) == 0 || c.Faults > 0 {
		return
	}
	for _, call := range c.Calls {
		if call.OutcomeCount == 1 && call.Result.Outcome != request.Answered {
			c.violate(ReclaimSurvived, "%s is %s: %v", call.Request.ID, call.Result.Outcome, call.Result.Problem)
		}
	}
}

// checkRuns checks that a request that is not idempotent ran at most once.
func (c *checker) checkRuns() {
	seen := make(map[string]int)
	for _, call := range c.Calls {
		identity := call.Request.ID
		if call.Request.Key != "" {
			identity = string(call.Request.Key)
		}
		if _, counted := seen[identity]; call.Request.Idempotent || counted {
			continue
		}
		var where []string
		for _, run := range c.Runs {
			if c.isRunOf(call, run) {
				seen[identity]++
				where = append(where, run.Request+" at "+run.Runner)
			}
		}
		if seen[identity] > 1 {
			c.violate(AtMostOnce, "%s ran %d times: %v", call.Request.ID, seen[identity], where)
		}
	}
}

func (c *checker) checkLeaving() {
	for _, run := range c.Runs {
		noticed, leaving := c.NoticedAt[run.Runner]
		if leaving && run.Time.Sub(noticed) > LeavingGrace {
			c.violate(LeavingGetsNoWork, "%s got request %s %s after its reclaim notice", run.Runner, run.Request, run.Time.Sub(noticed))
		}
	}
}

func (c *checker) checkStops() {
	for _, stop := range c.Stops {
		if stop.Err != nil {
			c.violate(StopIsGraceful, "%s: %v", stop.Daemon, stop.Err)
		}
		for _, call := range c.Calls {
			if call.Daemon == stop.Daemon && (call.Lost || call.OutcomeCount != 1) {
				c.violate(StopIsGraceful, "%s was interrupted at %s", call.Request.ID, call.Daemon)
			}
		}
	}
}

func (c *checker) checkCrashes() {
	crashes := make(map[string]int)
	for _, run := range c.Crashes {
		if crashes[run.Body]++; crashes[run.Body] == suspect.Threshold+1 {
			c.violate(CrashesBounded, "%s crashed a third backend server", run.Request)
		}
	}
}

// checkConfiguration checks that no daemon reverts to an older configuration, and
// that all daemons that reach the log or a peer end with the last accepted change
// and with the same state. The state includes the identities of all accepted and
// rejected changes.
func (c *checker) checkConfiguration() {
	latest := make(map[string]View)
	for _, view := range c.Views {
		before, known := latest[view.Daemon]
		if known && view.Offset < before.Offset {
			c.violate(ConfigurationNeverReverts, "%s reverted from offset %d to %d", view.Daemon, before.Offset, view.Offset)
		}
		if known && view.Priority < before.Priority {
			c.violate(ConfigurationNeverReverts, "%s reverted from change %d to %d", view.Daemon, before.Priority, view.Priority)
		}
		latest[view.Daemon] = view
	}
	for _, view := range c.Final {
		if len(c.Accepted) > 0 && view.Priority < slices.Max(c.Accepted) {
			c.violate(ConfigurationNeverReverts, "%s has change %d in force, but %v were accepted", view.Daemon, view.Priority, c.Accepted)
		}
		if view.State != c.Final[0].State {
			c.violate(ConfigurationNeverReverts, "%s and %s have different states", view.Daemon, c.Final[0].Daemon)
		}
	}
}

// checkOrders checks that the fencing tokens of successive orders never decrease.
func (c *checker) checkOrders() {
	var highest Order
	for _, order := range c.Orders {
		if order.Fencing < highest.Fencing {
			c.violate(OrdersFenced, "%s sent an order with fencing token %d after %s had sent one with %d", order.Daemon, order.Fencing, highest.Daemon, highest.Fencing)
			continue
		}
		highest = order
	}
}
