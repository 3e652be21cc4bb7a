package gateway

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cranberrywalk/cranberrywalk/admission"
	"github.com/cranberrywalk/cranberrywalk/balance"
)

// balancerRooms tells what the balancer knows of the runners of services. It implements
// admission.Rooms.
type balancerRooms struct{ balancer *balance.Balancer }

// Room implements admission.Rooms.
func (r balancerRooms) Room(service string, now time.Time) admission.Room {
	room := r.balancer.Room(service, now)
	flow, age := r.balancer.Flow(service, now)
	return admission.Room{
		Running: room.Running, Waiting: room.Waiting, Slots: room.Slots, Capacity: room.Capacity,
		Arrived: flow.Arrived, Started: flow.Started, Generation: room.Generation, Age: age,
	}
}

func newAdmission(options admission.Options, balancer *balance.Balancer) *admission.Controller {
	return admission.New(options, balancerRooms{balancer}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// AdmissionState returns what admission believes of a service, and false if there was no request for it.
func (g *Gateway) AdmissionState(service string) (admission.State, bool) {
	return g.admission.State(service)
}

// checkAdmission refuses a request at once if the runners of its service can't answer all that arrive,
// or not before its deadline.
func (x *exchange) checkAdmission(now time.Time) *Refusal {
	refused := x.admission.Admit(x.admissionRequest(now), now)
	if refused == nil {
		return nil
	}
	x.Balancer.RecordArrival(x.service)
	if refused.LacksCapacity() {
		x.recordRefusedDemand(now)
	}
	x.Count("Admission.Refused."+string(refused.Reason), 1)
	if refused.IsExcess {
		x.Count("Admission.Refused.BeyondUsualLoad", 1)
	}
	return unavailable(string(refused.Reason), refused.RetryAfter, refused)
}

// admissionRequest describes the request to admission.
func (x *exchange) admissionRequest(now time.Time) admission.Request {
	urgency, isOrdered := x.urgency()
	request := admission.Request{
		Service: x.service, Route: x.route.Name, Urgency: urgency, IsOrdered: isOrdered, Customer: x.customer.Name, Tokens: x.call.PromptTokens,
		Left: x.timeLeft(now), Target: x.route.TargetLatency, Continues: x.resumesStream(),
	}
	if x.engine() == nil {
		request.MaxPerSlot = x.options.MaxPlainRequestsPerSlot
	}
	return request
}

// priority returns the priority of the request.
func (x *exchange) priority() int {
	if x.customer.HasPriority {
		return x.customer.Priority
	}
	return x.route.Priority
}

// urgency returns the urgency of the request, and whether it is sent to the runners: only those of
// model services use it, and only if the priorities within the service differ.
func (x *exchange) urgency() (urgency int, isOrdered bool) {
	priorities := x.catalog.Priorities(x.service)
	return admission.Urgency(priorities, x.priority()), len(priorities) > 1 && x.engine() != nil
}

// observeResponse tells admission how long the request took to its answer or its first event, without the
// time that its caller needed for the body.
func (x *exchange) observeResponse(now time.Time) {
	if x.machine.Attempt() == 1 && !x.resumesStream() {
		x.admission.ObserveResponse(x.admissionRequest(now), now.Sub(x.received), now)
	}
}

// admissionFields returns the log fields that explain why a request was not admitted, if that is the cause.
func admissionFields(cause error) []any {
	var refused *admission.RefusedError
	if !errors.As(cause, &refused) {
		return nil
	}
	state := refused.State
	return []any{
		"Urgency", refused.Urgency, "BeyondUsualLoad", refused.IsExcess, "ClassShare", refused.Share, "AdmittedShare", state.Share,
		"DemandRatio", state.Ratio(), "Running", state.Room.Running, "Waiting", state.Room.Waiting, "Slots", state.Room.Slots,
		"RoomAgeMilliseconds", state.Room.Age.Milliseconds(), "WaitMilliseconds", state.Wait.Milliseconds(),
		"LeftMilliseconds", refused.Left.Milliseconds(), "RetryAfterMilliseconds", refused.RetryAfter.Milliseconds(),
	}
}
