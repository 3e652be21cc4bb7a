package gateway

import (
	"errors"
	"net/http"
	"time"

	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/callerserver"
	"github.com/cranberrywalk/cranberrywalk/metric"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// giveUp ends a request that gets no complete response from a runner.
func (x *exchange) giveUp(failure error, reason string) {
	x.applyUnsettled()
	x.apply(request.GivenUp)
	x.returnRetry()
	if x.machine.Outcome() == request.NotRun && !x.runStarted.Load() {
		x.Quotas.Refund(x.customer.Name, x.cost)
	}
	if x.isDisconnected() {
		x.recordEnd(0, x.disconnectReason(), failure)
		// The caller has disconnected and can no longer read a response.
		panic(http.ErrAbortHandler)
	}
	if x.headWritten {
		x.recordEnd(0, reason, failure)
		// Aborting the connection shows the caller that the response is truncated.
		panic(http.ErrAbortHandler)
	}
	x.recordDemandWithoutRunner(failure)
	x.refuse(x.refusalOf(failure, reason))
}

// returnRetry gives back a retry that was granted, if no runner was found for it.
func (x *exchange) returnRetry() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.retryGranted.IsZero() {
		return
	}
	x.RetryBudgets.ReturnRetry(x.service, x.retryGranted)
	x.retryGranted = time.Time{}
}

// isDisconnected reports whether the caller can no longer read a response.
func (x *exchange) isDisconnected() bool {
	ctx := x.request.Context()
	return ctx.Err() != nil && !callerserver.IsStopped(ctx)
}

// disconnectReason returns the reason for the end of a request whose connection is
// closed.
func (x *exchange) disconnectReason() string {
	if callerserver.ClosedBy(x.request.Context()) == callerserver.Daemon {
		return "ConnectionClosed"
	}
	return "CallerLeft"
}

// refusalOf returns the error response for the caller. Status 503 means that the
// request has not run, so it is returned only if that is certain.
func (x *exchange) refusalOf(failure error, reason string) *Refusal {
	if x.machine.Outcome() == request.NotRun {
		return unavailable(reason, x.retryAfter(failure), failure)
	}
	if x.ctx.Err() != nil {
		return newRefusal(http.StatusGatewayTimeout, reason, failure)
	}
	return newRefusal(http.StatusBadGateway, reason, failure)
}

// retryAfter returns when the caller may come back.
func (x *exchange) retryAfter(failure error) time.Duration {
	var none *balance.NoRunnerError
	var undecided *RolloutUndecidedError
	var unrecorded *RecordUnavailableError
	if errors.As(failure, &undecided) || errors.As(failure, &unrecorded) {
		return retryAfterUndecided
	}
	if errors.As(failure, &none) {
		if none.Limited > 0 {
			return x.Balancer.NextTurn(x.service, x.Clock.Now())
		}
		if none.Version != "" && none.Known == 0 {
			return x.retryAfterVersionGone()
		}
		return retryAfterPause(none.PauseLeft, retryAfterNoRunner)
	}
	return retryAfterPause(x.Balancer.ServicePauseLeft(x.service, x.Clock.Now()), retryAfterFull)
}

// retryAfterVersionGone returns the time until a new runner may have the version.
func (x *exchange) retryAfterVersionGone() time.Duration {
	service, _ := x.catalog.Service(x.service)
	if service.Scaling == nil || service.Scaling.BootTime <= 0 {
		return retryAfterVersionGone
	}
	return service.Scaling.BootTime
}

// refuse writes an error response that the daemon generates itself.
func (x *exchange) refuse(refusal *Refusal) {
	header := x.writer.Header()
	for name, values := range x.Codec.RefusalHeader(x.call.ID, refusal.RetryAfter) {
		header[name] = values
	}
	header.Set("Content-Length", "0")
	if refusal.hasUnreadBody {
		header.Set("Connection", "close")
	}
	x.writer.WriteHeader(refusal.Status)
	x.observeRefusal(refusal.Status, refusal.Reason)
	x.recordEnd(refusal.Status, refusal.Reason, refusal.Cause)
	if refusal.hasUnreadBody {
		x.skipBody()
	}
}

// recordEnd counts and logs the end of a request. status is zero when the caller
// got no complete response.
func (x *exchange) recordEnd(status int, reason string, cause error) {
	duration := x.Clock.Since(x.accepted)
	outcome := x.machine.Outcome().String()
	kind := x.route.Kind.String()
	x.Meters.CountRequest(kind, x.service, outcome, reason)
	x.Meters.ObservePhase(kind, metric.Total, duration)
	log := x.Log
	if reason == "Answered" {
		log = log.V(1)
	}
	text := ""
	if cause != nil {
		text = cause.Error()
	}
	version := uint64(0)
	if x.catalog != nil {
		version = x.catalog.Version()
	}
	log.Info("RequestEnded", append([]any{
		"Request", x.call.ID, "Outcome", outcome, "Reason", reason, "Status", status, "Kind", kind,
		"Route", x.route.Name, "Customer", x.customer.Name, "Service", x.service, "Attempts", x.machine.Attempt(),
		"LastEvent", x.lastEvent, "StreamVersion", x.version, "Milliseconds", duration.Milliseconds(),
		"FirstEventMilliseconds", x.firstEvent.Milliseconds(), "ConfigurationVersion", version, "Cause", text,
		"RunnersAgeMilliseconds", x.RunnersAge().Milliseconds(),
	}, append(choiceFields(x.choice), admissionFields(cause)...)...)...)
}

// reasonOf returns the reason for which no runner was chosen.
func reasonOf(failure error) string {
	var lost *RunLostError
	var none *balance.NoRunnerError
	var undecided *RolloutUndecidedError
	var unrecorded *RecordUnavailableError
	switch {
	case errors.As(failure, &unrecorded):
		return "RecordsUnavailable"
	case errors.As(failure, &undecided):
		return "RolloutUndecided"
	case errors.As(failure, &lost):
		return "RunLost"
	case errors.As(failure, &none) && none.Limited > 0:
		return "RunnersLimited"
	case errors.As(failure, &none) && (none.Version != "" || len(none.ExcludedVersions) > 0):
		return "NoRunnerOfVersion"
	}
	return "NoRunner"
}
