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

// LeavingGrace is how long after a reclaim notice a backend server may get new
// work from any daemon.
const LeavingGrace = 5 * time.Second

// Invariant names what has to hold after every case.
type Invariant string

// The invariants.
const (
	// ReclaimSurvived: an accepted request survives an announced reclaim.
	ReclaimSurvived Invariant = "an accepted request survives an announced reclaim"
	// WholeAnswer: a caller gets the whole answer to its own request.
	WholeAnswer Invariant = "each caller gets the whole answer to its own request"
	// NotRunProved: NotRun only when no backend server saw the key.
	NotRunProved Invariant = "NotRun means that no backend server saw the request's key"
	// AtMostOnce: a request that is not idempotent runs at most once.
	AtMostOnce Invariant = "a request that is not idempotent runs at most once"
	// LeavingGetsNoWork: a leaving backend server gets no new work.
	LeavingGetsNoWork Invariant = "a leaving backend server gets no new work after the grace"
	// StopIsGraceful: a planned stop cuts off no request.
	StopIsGraceful Invariant = "a planned stop cuts off no request"
	// ConfigurationNeverReverts: an accepted configuration is in force everywhere
	// and never reverts.
	ConfigurationNeverReverts Invariant = "an accepted configuration is in force everywhere and never reverts"
	// EndsOnce: each request ends exactly once, at once when given up.
	EndsOnce Invariant = "each request ends exactly once, at once, with Retry-After where it helps"
	// CrashesBounded: a request crashes no third backend server.
	CrashesBounded Invariant = "a request that crashes backend servers is stopped after two"
	// OrdersFenced: no order begins after one under a later lease.
	OrdersFenced Invariant = "no order is given under a lease that another one follows"
	// Expectation: the case had the effect that its script names.
	Expectation Invariant = "the script's expectation"
)

// Check returns what did not hold in a case.
func Check(r *Record) []error {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &checker{Record: r}
	for _, sending := range r.Calls {
		c.checkEnd(sending)
		c.checkAnswer(sending)
		c.checkNotRun(sending)
	}
	c.checkReclaims()
	c.checkRuns()
	c.checkLeaving()
	c.checkStops()
	c.checkCrashes()
	c.checkConfiguration()
	c.checkOrders()
	for _, deviation := range r.Expected {
		c.violate(Expectation, "%s", deviation)
	}
	return c.violations
}

// checker collects violations of one record.
type checker struct {
	*Record
	violations []error
}

func (c *checker) violate(invariant Invariant, format string, arguments ...any) {
	c.violations = append(c.violations, &ViolationError{Invariant: invariant, Detail: fmt.Sprintf(format, arguments...)})
}

// checkEnd asserts one end for each sending whose daemon lives.
func (c *checker) checkEnd(s *ClientCall) {
	if s.Lost {
		return
	}
	if !s.Returned || s.OutcomeCount != 1 {
		c.violate(EndsOnce, "%s at %s ended %d times", s.Request.ID, s.Daemon, s.OutcomeCount)
		return
	}
	if (s.Result.Outcome == request.Answered) != (s.Result.Problem == nil) {
		c.violate(EndsOnce, "%s at %s is %s with problem %v", s.Request.ID, s.Daemon, s.Result.Outcome, s.Result.Problem)
	}
	if s.Result.Outcome == request.Answered {
		return
	}
	var late *dispatch.DeadlineError
	if !errors.As(s.Result.Problem, &late) && !s.Ended.Before(s.Request.Deadline) {
		c.violate(EndsOnce, "%s at %s was held back until its deadline", s.Request.ID, s.Daemon)
	}
	var refused *dispatch.SuspectError
	if !errors.As(s.Result.Problem, &refused) && s.Result.RetryAfter <= 0 {
		c.violate(EndsOnce, "%s at %s got no Retry-After for %v", s.Request.ID, s.Daemon, s.Result.Problem)
	}
}

// checkAnswer compares an answer with the text of its prompt, or with the
// record of a run of the same request.
func (c *checker) checkAnswer(s *ClientCall) {
	if s.OutcomeCount != 1 || s.Result.Outcome != request.Answered {
		return
	}
	if s.Request.IsModelCall() {
		text, whole := textOf(s.Request, s.Body)
		want := engine.Text(prefix.Render(prompt), 0, answerTokens)
		if !whole || text != want {
			c.violate(WholeAnswer, "%s got %q, whole: %t", s.Request.ID, text, whole)
		}
		return
	}
	for _, run := range c.Runs {
		if c.isRunOf(s, run) && run.Answer == s.Body {
			return
		}
	}
	c.violate(WholeAnswer, "%s got %q", s.Request.ID, s.Body)
}

// isRunOf reports whether a run belongs to the request of a sending.
func (c *checker) isRunOf(s *ClientCall, run Run) bool {
	if run.Request == s.Request.ID {
		return true
	}
	return s.Request.Key != "" && run.Key == s.Request.Header["Idempotency-Key"][0]
}

// checkNotRun looks for runs that the outcome denies: those of the key until
// the caller was told, and those of the sending at any time.
func (c *checker) checkNotRun(s *ClientCall) {
	if s.OutcomeCount != 1 || s.Result.Outcome != request.NotRun {
		return
	}
	for _, run := range c.Runs {
		if run.Request == s.Request.ID || c.isRunOf(s, run) && run.Sequence < s.Sequence {
			c.violate(NotRunProved, "%s was told NotRun, %s ran it", s.Request.ID, run.Runner)
		}
	}
}

// checkReclaims asserts answers when nothing but reclaims was caused.
func (c *checker) checkReclaims() {
	if len(c.NoticedAt) == 0 || c.Faults > 0 {
		return
	}
	for _, s := range c.Calls {
		if s.OutcomeCount == 1 && s.Result.Outcome != request.Answered {
			c.violate(ReclaimSurvived, "%s is %s: %v", s.Request.ID, s.Result.Outcome, s.Result.Problem)
		}
	}
}

// checkRuns counts the runs of requests that are not idempotent.
func (c *checker) checkRuns() {
	seen := make(map[string]int)
	for _, s := range c.Calls {
		identity := s.Request.ID
		if s.Request.Key != "" {
			identity = string(s.Request.Key)
		}
		if _, counted := seen[identity]; s.Request.Idempotent || counted {
			continue
		}
		var where []string
		for _, run := range c.Runs {
			if c.isRunOf(s, run) {
				seen[identity]++
				where = append(where, run.Request+" at "+run.Runner)
			}
		}
		if seen[identity] > 1 {
			c.violate(AtMostOnce, "%s ran %d times: %v", s.Request.ID, seen[identity], where)
		}
	}
}

func (c *checker) checkLeaving() {
	for _, run := range c.Runs {
		noticed, leaving := c.NoticedAt[run.Runner]
		if leaving && run.Time.Sub(noticed) > LeavingGrace {
			c.violate(LeavingGetsNoWork, "%s got %s %s after its notice", run.Runner, run.Request, run.Time.Sub(noticed))
		}
	}
}

func (c *checker) checkStops() {
	for _, stop := range c.Stops {
		if stop.Err != nil {
			c.violate(StopIsGraceful, "%s: %v", stop.Daemon, stop.Err)
		}
		for _, s := range c.Calls {
			if s.Daemon == stop.Daemon && (s.Lost || s.OutcomeCount != 1) {
				c.violate(StopIsGraceful, "%s was cut off at %s", s.Request.ID, s.Daemon)
			}
		}
	}
}

func (c *checker) checkCrashes() {
	crashes := make(map[string]int)
	for _, run := range c.Crashes {
		if crashes[run.Body]++; crashes[run.Body] == suspect.Threshold+1 {
			c.violate(CrashesBounded, "%s crashed a backend server after two others", run.Request)
		}
	}
}

// checkConfiguration asserts that no daemon goes back, that all that reach the
// log or a peer end with the last accepted change and the same state, which
// holds the identities of all judged changes.
func (c *checker) checkConfiguration() {
	latest := make(map[string]View)
	for _, view := range c.Views {
		before, known := latest[view.Daemon]
		if known && view.Offset < before.Offset {
			c.violate(ConfigurationNeverReverts, "%s went from offset %d to %d", view.Daemon, before.Offset, view.Offset)
		}
		if known && view.Priority < before.Priority {
			c.violate(ConfigurationNeverReverts, "%s went from change %d to %d", view.Daemon, before.Priority, view.Priority)
		}
		latest[view.Daemon] = view
	}
	for _, view := range c.Final {
		if len(c.Accepted) > 0 && view.Priority < slices.Max(c.Accepted) {
			c.violate(ConfigurationNeverReverts, "%s has change %d in force, %v were accepted", view.Daemon, view.Priority, c.Accepted)
		}
		if view.State != c.Final[0].State {
			c.violate(ConfigurationNeverReverts, "%s and %s have judged the changes differently", view.Daemon, c.Final[0].Daemon)
		}
	}
}

// checkOrders asserts that the numbers of the leases never fall.
func (c *checker) checkOrders() {
	var highest Order
	for _, order := range c.Orders {
		if order.Fencing < highest.Fencing {
			c.violate(OrdersFenced, "%s ordered under %d after %s under %d", order.Daemon, order.Fencing, highest.Daemon, highest.Fencing)
			continue
		}
		highest = order
	}
}
