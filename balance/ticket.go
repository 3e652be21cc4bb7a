package balance

import "time"

// Result is the outcome of an attempt as far as it concerns the runner's health.
type Result int

const (
	// Cancelled is an attempt that ended for a reason unrelated to the runner.
	Cancelled Result = iota
	// Succeeded is a complete answer.
	Succeeded
	// Failed is an incomplete answer, or one that reports a fault.
	Failed
	// Rejected is an answer saying that the request was not run.
	Rejected
	// Unreachable means that no connection could be established.
	Unreachable
	// Refused means that the runner's VM refused the connection, as it does after a crash of
	// the runner.
	Refused
	// Replaced means that another runner answers at the address.
	Replaced
	// Silent means that the runner did not answer before the timeout.
	Silent
)

var resultNames = [...]string{"Cancelled", "Succeeded", "Failed", "Rejected", "Unreachable", "Refused", "Replaced", "Silent"}

// String returns the result's name.
func (r Result) String() string { return resultNames[r] }

// Ticket counts one request at a runner until it ends.
type Ticket struct {
	balancer      *Balancer
	runner        *runner
	request       Request
	prefillTokens int
	// uncached counts the prompt tokens that were to be prefilled.
	uncached int
	// begunAt is when the request was counted, at the latest when it was sent.
	begunAt time.Time
	// isLimited is true if the request was taken from the daemon's share of a limit.
	isLimited bool
	ended     bool
}

// begin counts a request at a runner. The mutex must be held.
func (b *Balancer) begin(r *runner, request Request, uncached int, now time.Time) *Ticket {
	r.running++
	if r.entry.Service != "" {
		b.starts[r.entry.Service]++
	}
	r.prefillTokens += uncached
	r.cache.add(request.Prompt)
	isLimited := r.signals.limit.IsInForce()
	if isLimited {
		r.signals.limit.Take()
	}
	return &Ticket{balancer: b, runner: r, request: request, prefillTokens: uncached, uncached: uncached, begunAt: now, isLimited: isLimited}
}

// EndUnsent ends a ticket like End. Nothing was sent to the runner, so that the request does
// not count for its limit.
func (t *Ticket) EndUnsent(result Result, now time.Time) {
	t.balancer.mutex.Lock()
	if l := &t.runner.signals.limit; !t.ended && t.isLimited && l.IsInForce() {
		l.Return()
	}
	t.balancer.mutex.Unlock()
	t.End(result, now)
}

// RecordActivity records that data was received from the runner.
func (t *Ticket) RecordActivity(now time.Time) {
	t.balancer.mutex.Lock()
	defer t.balancer.mutex.Unlock()
	t.runner.lastActivity = now
}

// LastActivity returns when data was last received from the runner, for any request of
// this daemon.
func (t *Ticket) LastActivity() time.Time {
	t.balancer.mutex.Lock()
	defer t.balancer.mutex.Unlock()
	return t.runner.lastActivity
}

// Started records the first event, which means that the prompt has been prefilled.
func (t *Ticket) Started() {
	t.balancer.mutex.Lock()
	defer t.balancer.mutex.Unlock()
	t.clearPrefill()
	t.balancer.recordZoneAnswer(t.runner)
}

func (t *Ticket) clearPrefill() {
	t.runner.prefillTokens -= t.prefillTokens
	t.prefillTokens = 0
}

// End stops counting the request at the runner and records its result. Only the
// first call has an effect.
func (t *Ticket) End(result Result, now time.Time) {
	b := t.balancer
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	t.clearPrefill()
	t.runner.running--
	b.recordZoneResult(t.runner, result, now)
	switch result {
	case Succeeded:
		b.serviceState(t.runner.entry.Service).observeTime(now.Sub(t.begunAt))
		t.runner.recordResult(false, now, b.options.FailureTimeConstant)
		if t.runner.backoff > 0 {
			b.notify(RunnerUp, t.runner)
		}
		t.runner.backoff = 0
	case Failed, Rejected, Silent:
		t.runner.recordResult(true, now, b.options.FailureTimeConstant)
	case Unreachable, Refused:
		t.runner.recordResult(true, now, b.options.FailureTimeConstant)
		if t.runner.backoff == 0 {
			b.notify(RunnerDown, t.runner)
		}
		t.runner.markUnreachable(now, b.options.InitialBackoff, b.options.MaxBackoff)
	case Replaced:
		t.runner.isReplaced = true
		b.notify(RunnerReplaced, t.runner)
	}
}

// recordZoneResult updates the reachability of the runner's zone.
func (b *Balancer) recordZoneResult(r *runner, result Result, now time.Time) {
	switch result {
	case Succeeded, Rejected, Replaced:
		b.recordZoneAnswer(r)
	case Refused:
		b.zoneOf(r.entry.Zone).recordRefusal(r.entry.ID)
	case Unreachable, Silent:
		if b.zoneOf(r.entry.Zone).recordSilence(r.entry.ID, now, b.options.ZoneRetryInterval) {
			b.notify(ZoneCut, r)
		}
	}
}

func (b *Balancer) recordZoneAnswer(r *runner) {
	if b.zoneOf(r.entry.Zone).recordAnswer() {
		b.notify(ZoneBack, r)
	}
}
