package gateway

// toleratesReset reports whether the current attempt may use a connection that may be
// stale. A retry and the continuation of a stopped run may not, since they can't be made
// again after a reset.
func (x *exchange) toleratesReset() bool {
	return x.route.Repeatable() && x.route.MaxAttempts > 1 && x.writtenAttempts == 0 && x.continuedRun == nil
}
