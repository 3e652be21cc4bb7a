package balance

import "time"

// Result is what an attempt showed about its runner.
type Result int

const (
	// Cancelled says nothing about the runner.
	Cancelled Result = iota
	// Succeeded is a whole answer.
	Succeeded
	// Failed is an answer that broke off, or one that reports a fault.
	Failed
	// Rejected is an answer that the request was not run.
	Rejected
	// Unreachable means that no connection could be made.
	Unreachable
	// Replaced means that another runner has the address.
	Replaced
	// Silent means that nothing came back in time.
	Silent
)

var resultNames = [...]string{"Cancelled", "Succeeded", "Failed", "Rejected", "Unreachable", "Replaced", "Silent"}

// String returns the result's name.
func (r Result) String() string { return resultNames[r] }

// Ticket counts one request at a runner until it ends.
type Ticket struct {
	balancer *Balancer
	runner   *runner
	need     Need
	prefill  int
	ended    bool
}

// begin counts a request and is called with the mutex held.
func (b *Balancer) begin(r *runner, need Need, uncached int) *Ticket {
	r.running++
	r.prefill += uncached
	r.cache.add(need.Prompt)
	return &Ticket{balancer: b, runner: r, need: need, prefill: uncached}
}

// Heard notes that the runner has sent something.
func (t *Ticket) Heard(now time.Time) {
	t.balancer.mutex.Lock()
	defer t.balancer.mutex.Unlock()
	t.runner.heard = now
}

// LastHeard returns when the runner last sent something to any request of this
// daemon.
func (t *Ticket) LastHeard() time.Time {
	t.balancer.mutex.Lock()
	defer t.balancer.mutex.Unlock()
	return t.runner.heard
}

// Started notes the first event: the prompt has been prefilled.
func (t *Ticket) Started() {
	t.balancer.mutex.Lock()
	defer t.balancer.mutex.Unlock()
	t.settle()
	t.balancer.noteAnswer(t.runner)
}

func (t *Ticket) settle() {
	t.runner.prefill -= t.prefill
	t.prefill = 0
}

// End takes the request off the runner. It has an effect once.
func (t *Ticket) End(result Result, now time.Time) {
	b := t.balancer
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	t.settle()
	t.runner.running--
	b.noteWay(t.runner, result, now)
	switch result {
	case Succeeded:
		t.runner.note(false, now, b.options.FailureMemory)
		if t.runner.downFor > 0 {
			b.believe(RunnerUp, t.runner)
		}
		t.runner.downFor = 0
	case Failed, Rejected, Silent:
		t.runner.note(true, now, b.options.FailureMemory)
	case Unreachable:
		t.runner.note(true, now, b.options.FailureMemory)
		if t.runner.downFor == 0 {
			b.believe(RunnerDown, t.runner)
		}
		t.runner.unreachable(now, b.options.FirstDown, b.options.MostDown)
	case Replaced:
		t.runner.isReplaced = true
		b.believe(RunnerReplaced, t.runner)
	}
}

// noteWay takes in what a result says about the way to the runner's zone.
func (b *Balancer) noteWay(r *runner, result Result, now time.Time) {
	switch result {
	case Succeeded, Rejected, Replaced:
		b.noteAnswer(r)
	case Unreachable, Silent:
		if b.zoneOf(r.entry.Zone).noteSilence(r.entry.ID, now, b.options.CutRetry) {
			b.believe(ZoneCut, r)
		}
	}
}

func (b *Balancer) noteAnswer(r *runner) {
	if b.zoneOf(r.entry.Zone).noteAnswer() {
		b.believe(ZoneBack, r)
	}
}
