package gateway

import (
	"errors"
	"net/http"
	"time"

	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/metric"
	"github.com/cranberrywalk/cranberrywalk/request"
	"github.com/cranberrywalk/cranberrywalk/upstream"
)

// giveUp ends a request that gets no answer of a runner.
func (v *visit) giveUp(failure error, reason string) {
	v.apply(request.GivenUp)
	if v.machine.Outcome() == request.NotRun && !v.began {
		v.Quotas.GiveBack(v.customer.Name, v.cost)
	}
	if v.request.Context().Err() != nil {
		v.ended(0, "CallerLeft", failure)
		// Nobody is left to read an answer.
		panic(http.ErrAbortHandler)
	}
	if v.headWritten {
		v.ended(0, reason, failure)
		// The caller must see that the answer is not whole.
		panic(http.ErrAbortHandler)
	}
	v.refuse(v.refusalOf(failure, reason))
}

// refusalOf returns what the caller is told. A status that promises that the
// request has not run is given with that proof only.
func (v *visit) refusalOf(failure error, reason string) *Refusal {
	if v.machine.Outcome() == request.NotRun {
		return unavailable(reason, v.retryAfter(failure), failure)
	}
	if v.ctx.Err() != nil {
		return denied(http.StatusGatewayTimeout, reason, failure)
	}
	return denied(http.StatusBadGateway, reason, failure)
}

func (v *visit) retryAfter(failure error) time.Duration {
	var none *balance.NoRunnerError
	var full *upstream.FullError
	switch {
	case errors.As(failure, &none):
		return waitForRunner
	case errors.As(failure, &full):
		return waitForRoom
	default:
		return waitForRoom
	}
}

// refuse writes an answer of the daemon's own.
func (v *visit) refuse(refusal *Refusal) {
	header := v.writer.Header()
	for name, values := range v.Codec.RefusalHeader(v.call.ID, refusal.RetryAfter) {
		header[name] = values
	}
	header.Set("Content-Length", "0")
	v.writer.WriteHeader(refusal.Status)
	v.ended(refusal.Status, refusal.Reason, refusal.Cause)
}

// ended counts and logs the end of a request. status is zero when the caller got
// no whole answer.
func (v *visit) ended(status int, reason string, cause error) {
	took := v.Clock.Since(v.accepted)
	outcome := v.machine.Outcome().String()
	kind := v.route.Kind.String()
	v.Meters.Request(kind, v.service, outcome, reason)
	v.Meters.Time(kind, metric.Whole, took)
	log := v.Log
	if reason == "Answered" {
		log = log.V(1)
	}
	text := ""
	if cause != nil {
		text = cause.Error()
	}
	version := uint64(0)
	if v.catalog != nil {
		version = v.catalog.Version()
	}
	log.Info("RequestEnded", append([]any{
		"Request", v.call.ID, "Outcome", outcome, "Reason", reason, "Status", status, "Kind", kind,
		"Route", v.route.Name, "Customer", v.customer.Name, "Service", v.service, "Attempts", v.machine.Attempt(),
		"LastEvent", v.lastEvent, "Milliseconds", took.Milliseconds(),
		"FirstEventMilliseconds", v.firstEvent.Milliseconds(), "ConfigurationVersion", version, "Cause", text,
	}, v.choiceFields()...)...)
}

// reasonOf names why no runner was chosen.
func reasonOf(failure error) string {
	var lost *LostRunError
	if errors.As(failure, &lost) {
		return "RunLost"
	}
	return "NoRunner"
}
