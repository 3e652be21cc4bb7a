package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cranberrywalk/cranberrywalk/backend"
	"github.com/cranberrywalk/cranberrywalk/request"
	"github.com/cranberrywalk/cranberrywalk/suspect"
)

// attempt sends the request to one backend server. It returns nil after a
// whole answer.
func (f *flight) attempt(target Target) error {
	next, err := f.machine.Apply(request.Event{Kind: request.AttemptBegan, Attempt: f.machine.Attempt() + 1})
	if err != nil {
		return err
	}
	f.machine = next
	ctx, stop := context.WithCancelCause(f.ctx)
	defer stop(nil)
	f.startAttempt(target, stop)
	defer f.stopAttempt()
	f.Chooser.Began(target, f.request)
	f.record("Dispatched", target.Name, "")
	begin := f.Clock.Now()
	seen, err := f.exchange(ctx, target, begin)
	f.observe(target, begin, seen, err)
	if err != nil {
		f.settle(target, err)
	}
	return err
}

// settle tells the machine how an attempt has failed.
func (f *flight) settle(target Target, err error) {
	var fault *backend.FaultError
	if errors.As(err, &fault) && !fault.Written {
		_ = f.apply(request.AttemptUnwritten)
		return
	}
	_ = f.apply(request.AttemptFailed)
	f.judge(target, err)
}

// judge records that the request may have crashed a backend server, if the
// failure of the attempt looks like that.
func (f *flight) judge(target Target, failure error) {
	var fault *backend.FaultError
	if errors.As(failure, &fault) && fault.IsCrash() && !f.isMoving(target.Name) && f.ctx.Err() == nil {
		f.suspect(target)
	}
}

// suspect records that the request may have crashed a backend server.
func (f *flight) suspect(target Target) {
	f.noteCrash(target)
	if f.isSharedCrash(target, f.Clock.Now()) {
		f.Count("RequestCrashesShared", 1)
		return
	}
	identity := suspect.Identity(f.request.ID, target.Name, f.machine.Attempt())
	entry := f.Suspects.Add(f.fingerprint, identity, f.Clock.Now())
	f.Count("RequestCrashes", 1)
	if f.OnSuspect != nil && len(entry.Crashes) > 0 {
		f.OnSuspect(entry)
	}
}

// exchange sends the request and passes on its answer.
func (f *flight) exchange(ctx context.Context, target Target, begin time.Time) (Observation, error) {
	given, err := f.Link.Send(ctx, f.call(target))
	if err != nil {
		return Observation{}, err
	}
	seen := Observation{Status: given.Status()}
	_ = f.apply(request.AnswerBegan)
	if f.isBusy(given) {
		if _, err := given.Whole(); err != nil {
			return seen, err
		}
		return seen, &BusyError{Backend: target.Name, Status: seen.Status, RetryAfter: retryAfter(given.Header())}
	}
	switch {
	case seen.Status != http.StatusOK || !f.streams():
		return f.relayWhole(given, seen)
	case given.IsStream():
		return f.relayStream(given, seen, begin)
	case f.request.Stream:
		return seen, given.Reject()
	}
	return f.relayWhole(given, seen)
}

// call describes the attempt to the link.
func (f *flight) call(target Target) backend.Call {
	return backend.Call{
		Backend: target.Name, Address: target.Address, ID: f.request.ID,
		Method: f.request.Method, Path: f.request.Path,
		Header: toBackend(f.request.Header), Body: f.transcript.nextBody(),
		Idempotent: f.request.Idempotent, Fresh: f.machine.Attempt() > 1,
		Stream: f.streams(), Deadline: f.request.Deadline,
	}
}

// streams reports whether a stream of events is expected.
func (f *flight) streams() bool {
	return f.request.IsModelCall() && (f.request.Stream || f.transcript.collects())
}

// isBusy reports whether another model engine is to be tried. The answer of
// a plain service and the answer to a call that is not repeated stand.
func (f *flight) isBusy(given *backend.Answer) bool {
	if !f.request.IsModelCall() || !f.request.Idempotent {
		return false
	}
	return given.Status() == http.StatusTooManyRequests || given.Status() == http.StatusServiceUnavailable
}

// relayWhole passes on an answer that comes in one piece.
func (f *flight) relayWhole(given *backend.Answer, seen Observation) (Observation, error) {
	body, err := given.Whole()
	if err != nil {
		return seen, err
	}
	if err := f.apply(request.AnswerWhole); err != nil {
		return seen, err
	}
	f.Suspects.Answered(f.fingerprint, f.Clock.Now())
	if f.request.IsModelCall() {
		seen = seen.withUsage(backend.UsageOf(body))
	}
	if f.head(seen.Status, toCaller(given.Header())) == nil && len(body) > 0 {
		_ = f.chunk(body)
	}
	return seen, nil
}

// withUsage returns a copy with the counts of tokens.
func (o Observation) withUsage(usage *backend.Usage) Observation {
	if usage == nil {
		return o
	}
	o.PromptTokens = usage.PromptTokens
	o.CachedTokens = usage.Cached()
	o.CompletionTokens = usage.CompletionTokens
	return o
}
