// Package outage simulates faults and measures which share of the keyed requests
// that are not idempotent is refused, with two designs for deciding which daemon
// may run a key: claims on the log, which the product uses, and owned key ranges,
// which only package grant implements.
//
// An owner that cannot append to the log may run keys whose claims are not on the log,
// once the memory delay since its last record has passed. If such an owner dies, its
// range has a hole until those claims have expired: a key that is not on the log is
// refused, since it may have run already.
//
// The simulation runs the real claim.State, grant.State, grant.Owner and
// request.Machine of seven daemons on a simulated clock. The log, the load balancer and
// the connectivity between peers are simple fakes.
package outage
