package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrywalk/cranberrywalk/call"
	"github.com/cranberrywalk/cranberrywalk/catalog"
	"github.com/cranberrywalk/cranberrywalk/quota"
	"github.com/cranberrywalk/cranberrywalk/request"
	"github.com/cranberrywalk/cranberrywalk/streamversion"
)

// admit decides whether a request may be forwarded. The exchange is never nil.
func (g *Gateway) admit(w http.ResponseWriter, r *http.Request) (*exchange, *Refusal) {
	x := &exchange{Gateway: g, writer: w, request: r, accepted: g.Clock.Now()}
	g.awaitReady(r.Context())
	current := g.Catalog()
	if current == nil {
		return x, unavailable("NoConfiguration", retryAfterStart, nil)
	}
	x.catalog = current
	if refusal := x.checkHeader(); refusal != nil {
		return x, refusal
	}
	decoded, err := g.Codec.DecodeCall(r)
	x.call = decoded
	if err != nil {
		return x, newRefusal(http.StatusBadRequest, "BadHeader", err)
	}
	if refusal := x.authorize(); refusal != nil {
		return x, refusal
	}
	if refusal := x.readBody(); refusal != nil {
		return x, refusal
	}
	x.received = x.Clock.Now()
	x.setDeadline()
	for _, check := range []func() *Refusal{x.checkStop, x.checkLimits} {
		if refusal := check(); refusal != nil {
			x.close()
			return x, refusal
		}
	}
	return x, nil
}

// authorize finds the route and the customer.
func (x *exchange) authorize() *Refusal {
	route, found := x.catalog.Match(x.call.Host, x.call.Path)
	if !found {
		return newRefusal(http.StatusNotFound, "NoRoute", nil)
	}
	x.route = route
	customer, known := x.catalog.CustomerByKey(x.call.Key)
	if !known && x.catalog.NeedsKey(route) {
		return newRefusal(http.StatusUnauthorized, "UnknownKey", nil)
	}
	x.customer = customer
	// A resumed stream goes to the service that began it, at any daemon.
	x.service = route.Pick(unitHash(x.firstCallID()))
	x.stream = streamversion.StreamOf(x.service, x.customer.Name, x.firstCallID())
	return nil
}

// unitHash maps an ID to a number in [0, 1), which is the same at all daemons.
func unitHash(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }

// checkHeader refuses header fields that are larger than allowed.
func (x *exchange) checkHeader() *Refusal {
	maxBytes := x.catalog.Limits().MaxHeaderBytes
	if maxBytes <= 0 {
		return nil
	}
	size := 0
	for name, values := range x.request.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	if size > maxBytes {
		return newRefusal(http.StatusRequestHeaderFieldsTooLarge, "LongHeader", nil)
	}
	return nil
}

// setDeadline bounds the request by the timeouts of the caller and of the route.
func (x *exchange) setDeadline() {
	timeout := x.call.Timeout
	if timeout <= 0 {
		timeout = x.options.DefaultTimeout
	}
	if x.route.Timeout > 0 {
		timeout = min(timeout, x.route.Timeout)
	}
	x.deadline = x.accepted.Add(timeout)
	x.ctx, x.cancel = context.WithDeadlineCause(x.request.Context(), x.deadline, &DeadlineError{Timeout: timeout})
	x.machine = request.NewMachine(request.Request{Idempotent: x.route.Repeatable()})
}

// checkLimits refuses requests that have crashed runners, exceed the customer's quota, are not
// admitted or resume a stream of an unknown version. The quota is charged last, since the other
// checks may refuse the request.
func (x *exchange) checkLimits() *Refusal {
	now := x.Clock.Now()
	x.setTraits()
	if refusal := x.checkCrashes(now); refusal != nil {
		return refusal
	}
	// Requests beyond a quota are no demand: their customers are told to come back by the quota.
	x.cost = x.customer.Quota.Cost(x.call.Tokens())
	if refusal := quotaRefusal(x.Quotas.Check(x.customer.Name, x.cost, now)); refusal != nil {
		return refusal
	}
	if refusal := x.checkAdmission(now); refusal != nil {
		return refusal
	}
	if refusal := x.findVersion(); refusal != nil {
		return refusal
	}
	if refusal := quotaRefusal(x.Quotas.Take(x.customer.Name, x.cost, now)); refusal != nil {
		return refusal
	}
	x.Balancer.RecordArrival(x.service)
	x.recordDemand(now)
	x.RetryBudgets.CountRequest(x.service, now)
	x.Log.V(1).Info("RequestAccepted", "Request", x.call.ID, "Customer", x.customer.Name, "Route", x.route.Name,
		"Service", x.service, "Tokens", x.call.Tokens(), "Milliseconds", x.timeLeft(now).Milliseconds(),
		"ConfigurationVersion", x.catalog.Version(), "LastEvent", x.call.LastEvent, "Resumes", x.call.Resumes)
	if x.call.LastEvent > 0 {
		x.Count("Streams.ResumedByCallers", 1)
	}
	return nil
}

// quotaRefusal returns the refusal for an error of the limiter, or nil.
func quotaRefusal(err error) *Refusal {
	var exceeded *quota.ExceededError
	if !errors.As(err, &exceeded) {
		return nil
	}
	return &Refusal{Status: http.StatusTooManyRequests, Reason: "QuotaExceeded", RetryAfter: exceeded.RetryAfter, Cause: err}
}

// timeLeft returns the time until the request's deadline.
func (x *exchange) timeLeft(now time.Time) time.Duration { return x.deadline.Sub(now) }

// attemptOf describes an attempt to its runner.
func (x *exchange) attemptOf(a *attempt, now time.Time) call.Attempt {
	urgency, isOrdered := x.urgency()
	return call.Attempt{
		Runner: a.choice.Runner.ID, Customer: x.customer.Name, Timeout: x.timeLeft(now), LastEvent: a.lastEvent,
		ResumedRun: a.resumed, Urgency: urgency, HasUrgency: isOrdered,
	}
}

// engine returns the model engine that the request is for, or nil.
func (x *exchange) engine() *catalog.Engine {
	service, _ := x.catalog.Service(x.service)
	return service.Engine
}
