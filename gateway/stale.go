package gateway

import (
	"errors"

	"github.com/cranberrywalk/cranberrywalk/upstream"
)

// toleratesReset reports whether an attempt may use a connection that may be stale. A
// retry and the continuation of a stopped run may not, since they can't be made again
// after a reset.
func (x *exchange) toleratesReset(a *attempt) bool {
	return x.route.Repeatable() && x.route.MaxAttempts > 1 && a.number == 1 && a.resumed == nil
}

// isStale reports whether an attempt failed because its runner had probably dropped the
// idle connection, which says nothing of the runner itself.
func isStale(failure error) bool {
	var invalid *upstream.InvalidAnswerError
	return errors.As(failure, &invalid) && invalid.Stale
}
