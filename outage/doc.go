// Package outage measures, for keyed requests that are not idempotent, what
// faults refuse under two ways to agree on a key: claims on the log, which
// the product uses, and owned key ranges, which only package grant has.
//
// It runs the real claim.Book, grant.Book, grant.Owner and request.Machine
// of seven daemons on a clock of its own. The log, the balancer and the
// reachability of peers are simple fakes.
package outage
