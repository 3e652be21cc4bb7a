package gateway

import (
	"context"
	"errors"
	"hash/maphash"
	"io"
	"net/http"
	"time"

	"github.com/cranberrywalk/cranberrywalk/call"
	"github.com/cranberrywalk/cranberrywalk/catalog"
	"github.com/cranberrywalk/cranberrywalk/quota"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// admit decides whether a request is carried. The visit is never nil.
func (g *Gateway) admit(w http.ResponseWriter, r *http.Request) (*visit, *Refusal) {
	v := &visit{Gateway: g, writer: w, request: r, accepted: g.Clock.Now()}
	g.awaitBegin(r.Context())
	known := g.Catalog()
	if known == nil {
		return v, unavailable("NoConfiguration", waitForStart, nil)
	}
	v.catalog = known
	if refusal := v.checkHeader(); refusal != nil {
		return v, refusal
	}
	decoded, err := g.Codec.DecodeCall(r)
	v.call = decoded
	if err != nil {
		return v, denied(http.StatusBadRequest, "BadHeader", err)
	}
	if refusal := v.authorize(); refusal != nil {
		return v, refusal
	}
	if refusal := v.readBody(); refusal != nil {
		return v, refusal
	}
	v.bound()
	if refusal := v.checkLimits(); refusal != nil {
		v.close()
		return v, refusal
	}
	return v, nil
}

// authorize finds the route and the customer.
func (v *visit) authorize() *Refusal {
	route, found := v.catalog.Match(v.call.Host, v.call.Path)
	if !found {
		return denied(http.StatusNotFound, "NoRoute", nil)
	}
	v.route = route
	customer, holds := v.catalog.Holder(v.call.Key)
	if !holds && v.catalog.NeedsKey(route) {
		return denied(http.StatusUnauthorized, "UnknownKey", nil)
	}
	v.customer = customer
	v.service = route.Pick(point(v.call.ID))
	return nil
}

// pointSeed is the same for all requests of the process.
var pointSeed = maphash.MakeSeed()

// point returns a number from 0 to 1 for an ID.
func point(id string) float64 {
	return float64(maphash.String(pointSeed, id)>>11) / (1 << 53)
}

// checkHeader refuses header fields that are larger than allowed.
func (v *visit) checkHeader() *Refusal {
	most := v.catalog.Limits().MaxHeaderBytes
	if most <= 0 {
		return nil
	}
	size := 0
	for name, values := range v.request.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	if size > most {
		return denied(http.StatusRequestHeaderFieldsTooLarge, "LongHeader", nil)
	}
	return nil
}

func (v *visit) readBody() *Refusal {
	body := io.Reader(v.request.Body)
	if most := v.catalog.Limits().MaxBodyBytes; most > 0 {
		body = http.MaxBytesReader(v.writer, v.request.Body, int64(most))
	}
	content, err := io.ReadAll(body)
	var long *http.MaxBytesError
	switch {
	case errors.As(err, &long):
		return denied(http.StatusRequestEntityTooLarge, "LongBody", err)
	case err != nil:
		return denied(http.StatusBadRequest, "BrokenBody", err)
	}
	v.call.Body = content
	return nil
}

// bound sets when the request is given up.
func (v *visit) bound() {
	patience := v.call.Patience
	if patience <= 0 {
		patience = v.options.DefaultPatience
	}
	if v.route.Timeout > 0 {
		patience = min(patience, v.route.Timeout)
	}
	v.deadline = v.accepted.Add(patience)
	v.ctx, v.cancel = context.WithDeadlineCause(v.request.Context(), v.deadline, &DeadlineError{Patience: patience})
	v.machine = request.NewMachine(request.Request{Idempotent: v.route.Repeatable()})
}

// checkLimits refuses what must not or can't be served now.
func (v *visit) checkLimits() *Refusal {
	now := v.Clock.Now()
	v.fingerprint = v.call.Fingerprint(v.customer.Name)
	if v.Suspects.Refused(v.fingerprint, now) {
		return unavailable("CrashesRunners", 0, nil)
	}
	if refusal := v.checkRoom(now); refusal != nil {
		return refusal
	}
	v.cost = v.customer.Quota.Cost(v.call.Tokens())
	var exceeded *quota.ExceededError
	if err := v.Quotas.Take(v.customer.Name, v.cost, now); errors.As(err, &exceeded) {
		return &Refusal{
			Status: http.StatusTooManyRequests, Reason: "QuotaExceeded", RetryAfter: exceeded.RetryAfter, Cause: err,
		}
	}
	v.Retries.Note(v.service, now)
	v.Log.V(1).Info("RequestAccepted", "Request", v.call.ID, "Customer", v.customer.Name, "Route", v.route.Name,
		"Service", v.service, "Tokens", v.call.Tokens(), "Milliseconds", v.timeLeft(now).Milliseconds(),
		"ConfigurationVersion", v.catalog.Version())
	return nil
}

// checkRoom refuses a request at once that would wait too long in the queues of
// a plain service.
func (v *visit) checkRoom(now time.Time) *Refusal {
	service, _ := v.catalog.Service(v.service)
	if service.Engine != nil {
		return nil
	}
	load := v.Balancer.Load(v.service, now)
	if load.Runners > 0 && float64(load.Requests) >= v.options.PlainQueue*float64(load.Slots) {
		return unavailable("ServiceFull", waitForRoom, nil)
	}
	return nil
}

// timeLeft returns how long a runner may work at most, from now on.
func (v *visit) timeLeft(now time.Time) time.Duration { return v.deadline.Sub(now) }

// attemptOf describes an attempt at a runner.
func (v *visit) attemptOf(runner string, now time.Time) call.Attempt {
	return call.Attempt{
		Runner: runner, Customer: v.customer.Name, Patience: v.timeLeft(now), LastEvent: v.lastEvent,
		Continues: v.continues,
	}
}

// engine returns the model engine that the request is for, or nil.
func (v *visit) engine() *catalog.Engine {
	service, _ := v.catalog.Service(v.service)
	return service.Engine
}
