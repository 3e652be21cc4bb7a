package gateway

import (
	"cmp"
	"net/http"
	"slices"

	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/explain"
)

// ExplainRoute tells where a request would go now, and why, without sending or counting it. The body
// of r is not read, and its quota and crashes are not looked at. If customer is not empty, the request
// is one of that customer, whatever its key is.
func (g *Gateway) ExplainRoute(r *http.Request, customer string) explain.Route {
	x := &exchange{Gateway: g, request: r, accepted: g.Clock.Now()}
	x.catalog = g.Catalog()
	if x.catalog == nil {
		return explain.Route{Refused: "NoConfiguration"}
	}
	decoded, err := g.Codec.DecodeCall(r)
	if err != nil {
		return explain.Route{Refused: err.Error()}
	}
	x.call = decoded
	refusal := x.authorize()
	if refusal != nil && x.route.Name == "" {
		return explain.Route{Refused: refusal.Reason}
	}
	result := explain.Route{}
	if refusal != nil && customer == "" {
		result.Refused = refusal.Reason
	}
	x.service = x.route.Pick(unitHash(x.firstCallID()))
	if customer != "" && !x.setCustomer(customer) {
		return explain.Route{Refused: "UnknownCustomer"}
	}
	x.setDeadline()
	defer x.cancel()
	x.explainRequest(&result)
	x.explainAdmission(&result)
	x.explainRunners(&result)
	return result
}

// setCustomer makes the request one of a customer, and reports whether the catalog has it.
func (x *exchange) setCustomer(name string) bool {
	for _, customer := range x.catalog.Customers() {
		if customer.Name == name {
			x.customer = customer
			return true
		}
	}
	return false
}

func (x *exchange) explainRequest(to *explain.Route) {
	to.Route, to.Service, to.Customer, to.Kind = x.route.Name, x.service, x.customer.Name, x.route.Kind.String()
	to.Priority = x.priority()
	to.Urgency, to.SendsUrgency = x.urgency()
	to.ConfigurationVersion = x.catalog.Version()
	to.LeftMilliseconds, to.TargetMilliseconds = x.timeLeft(x.accepted).Milliseconds(), x.route.TargetLatency.Milliseconds()
	to.RunnersAgeMilliseconds = x.RunnersAge().Milliseconds()
}

func (x *exchange) explainAdmission(to *explain.Route) {
	preview := x.admission.Preview(x.admissionRequest(x.accepted), x.accepted)
	state := preview.State
	to.Admission = explain.Admission{
		Chance: preview.Chance, Reason: string(preview.Reason), BeyondUsualLoad: preview.Excess, DemandRatio: state.Ratio(), AdmittedShare: state.Share,
		Running: state.Room.Running, Waiting: state.Room.Waiting, Slots: state.Room.Slots,
		AgeMilliseconds: (state.Room.Age + preview.StateAge).Milliseconds(), WaitMilliseconds: preview.Wait.Milliseconds(),
		ExpectedMilliseconds: preview.Expected.Milliseconds(), MaxRetryAfterMilliseconds: preview.MaxRetryAfter.Milliseconds(),
	}
}

func (x *exchange) explainRunners(to *explain.Route) {
	assignment := x.Rollouts.Reassign(x.service, x.route.Name, x.accepted)
	all, age := x.Balancer.Explain(x.unbound(x.balanceRequest(), assignment), x.accepted)
	to.LoadsAgeMilliseconds = age.Milliseconds()
	for _, candidate := range all {
		to.Runners = append(to.Runners, routeRunner(candidate))
	}
	slices.SortStableFunc(to.Runners, func(a, b explain.RouteRunner) int { return cmp.Compare(b.Chance, a.Chance) })
}

func routeRunner(c balance.Candidate) explain.RouteRunner {
	r := explain.RouteRunner{
		Runner: c.Runner.ID, Zone: c.Runner.Zone, Version: c.Runner.Version, Status: string(c.Status), Chance: c.Chance, Slots: c.Runner.Slots,
		OwnRunning: c.Own.Running, PeersRunning: c.Peers.Running, PrefillTokens: c.Own.PrefillTokens + c.Peers.PrefillTokens,
		UncachedTokens: c.Uncached, FailureScore: c.FailureScore, Speed: c.Speed, Knee: c.Knee,
		StatedRunning: c.Stated.Running, StatedWaiting: c.Stated.Waiting, StatedAgeMilliseconds: -1,
	}
	if c.Stated.IsKnown() {
		r.StatedAgeMilliseconds = c.StatedAge.Milliseconds()
	}
	return r
}
