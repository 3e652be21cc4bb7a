package gateway

import (
	"errors"
	"time"

	"github.com/cranberrywalk/cranberrywalk/balance"
)

// mayReturn reports whether a rejected request may return to the runner that was
// abandoned for its silence. MaxAttempts bounds the runners that a request is sent to,
// and that runner was one of them.
func (x *exchange) mayReturn(failure error) bool {
	var rejected *RejectedError
	return x.abandoned != "" && errors.As(failure, &rejected)
}

// chooseRunner chooses a runner that the request was not sent to. If there is none, or no
// further one may be asked, the request returns to the runner that was abandoned.
func (x *exchange) chooseRunner(now time.Time) (balance.Choice, *balance.Ticket, error) {
	if x.abandoned == "" {
		return x.Balancer.Choose(x.balanceRequest(), now)
	}
	if x.writtenAttempts < x.route.MaxAttempts {
		choice, ticket, err := x.Balancer.Choose(x.balanceRequest(), now)
		if err == nil {
			return choice, ticket, nil
		}
	}
	r := x.balanceRequest()
	r.Excluded, r.Only = nil, x.abandoned
	x.abandoned = ""
	return x.Balancer.Choose(r, now)
}
