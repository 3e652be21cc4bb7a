package gateway

import (
	"errors"
	"time"

	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/request"
	"github.com/cranberrywalk/cranberrywalk/scaling"
)

// Demand is told of the requests of services whose runners are ordered. It may be nil.
type Demand interface {
	// Admitted counts a request that is carried.
	Admitted(request scaling.Request, now time.Time)
	// Refused counts a request that was not admitted for lack of capacity, and returns false if it does not
	// count.
	Refused(request scaling.Request, now time.Time) bool
	// RefusedLater counts a request that was admitted, but that no runner took.
	RefusedLater(request scaling.Request)
	// Completed records for how long a runner that was not overloaded was occupied with a request.
	Completed(request scaling.Request, taken time.Duration)
}

// isOrderedFor reports whether runners are ordered for the service of the request.
func (x *exchange) isOrderedFor() bool {
	service, _ := x.catalog.Service(x.service)
	return x.Demand != nil && service.Scaling != nil
}

// demandRequest describes the request as demand.
func (x *exchange) demandRequest() scaling.Request {
	return scaling.Request{
		Service: x.service, Route: x.route.Name, PromptTokens: x.call.PromptTokens, MaxTokens: x.call.MaxTokens,
		Customer: x.customer.Name, Quota: x.customer.Quota, Cost: x.cost, Daemons: x.Group.Size(),
	}
}

// recordDemand counts the request as admitted.
func (x *exchange) recordDemand(now time.Time) {
	if x.isOrderedFor() {
		x.Demand.Admitted(x.demandRequest(), now)
	}
}

// recordRefusedDemand counts the request as refused by admission for lack of capacity.
func (x *exchange) recordRefusedDemand(now time.Time) {
	if !x.isOrderedFor() {
		return
	}
	if x.Demand.Refused(x.demandRequest(), now) {
		x.Count("Demand.Refused", 1)
	} else {
		x.Count("Demand.RefusedBeyondQuota", 1)
	}
}

// recordDemandWithoutRunner counts the request as refused since no runner took it.
func (x *exchange) recordDemandWithoutRunner(failure error) {
	if x.isOrderedFor() && x.machine.Outcome() == request.NotRun && isLackOfRunners(failure) {
		x.Demand.RefusedLater(x.demandRequest())
		x.Count("Demand.Refused", 1)
	}
}

// isLackOfRunners reports whether a request failed since no runner was free for it. More runners do not help a
// stream whose version has none, nor a runner that was replaced.
func isLackOfRunners(failure error) bool {
	var none *balance.NoRunnerError
	var rejected *RejectedError
	switch {
	case errors.As(failure, &none):
		return none.Version == "" && len(none.ExcludedVersions) == 0
	case errors.As(failure, &rejected):
		return !rejected.Replaced
	default:
		return false
	}
}

// recordWork records how long the runner was occupied with the request, if it did all of it and was not
// overloaded.
func (x *exchange) recordWork(a *attempt, now time.Time) {
	if a.number != 1 || a.resumed != nil || x.resumesStream() || !x.isOrderedFor() || x.admission.IsContended(x.service) {
		return
	}
	x.Demand.Completed(x.demandRequest(), now.Sub(a.sentAt))
}
