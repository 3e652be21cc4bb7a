package balance

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/capacity"
	"github.com/cranberrywalk/cranberrywalk/runnerlimit"
)

// Options are the settings of a Balancer. The unit of costs is the prefill of one
// token for model engines and one running request for plain services.
type Options struct {
	// Zone is the daemon's own availability zone.
	Zone string
	// Daemon identifies the daemon among those that share the limits of runners.
	Daemon runnerlimit.Daemon
	// UncachedTokenCost is the cost of each prompt token that the runner would
	// have to prefill for this request. It exceeds 1 because other requests wait
	// for the prefill and its computing time is paid for.
	UncachedTokenCost float64
	// RunningRequestCost is the cost of each request in progress at an engine.
	RunningRequestCost float64
	// CrossZoneCostEngine and CrossZoneCostPlain are the costs of a runner in
	// another availability zone.
	CrossZoneCostEngine float64
	CrossZoneCostPlain  float64
	// FailureCostPlain and FailureCostEngine are the costs of a runner all of
	// whose requests fail.
	FailureCostPlain  float64
	FailureCostEngine float64
	// FailureTimeConstant is the time in which the weight of a failure decays
	// to 1/e.
	FailureTimeConstant time.Duration
	// InitialBackoff and MaxBackoff bound how long an unreachable runner is
	// avoided.
	InitialBackoff, MaxBackoff time.Duration
	// ZoneRetryInterval is how long an unreachable zone is avoided.
	ZoneRetryInterval time.Duration
	// PeerLoadTTL is how long the loads that a peer reported are used.
	PeerLoadTTL time.Duration
	// OnHealthChange is called on each change in the health of a runner or zone, with
	// the balancer locked; it may be nil.
	OnHealthChange func(HealthChange)
	// OnCapacityChange is called on changes of what a runner is thought to carry, a bounded number of
	// times a second, with the balancer locked; it may be nil.
	OnCapacityChange func(capacity.Change)
	// CacheFraction is the fraction of a runner's cache that is assumed to hold
	// prompts sent by this daemon.
	CacheFraction float64
}

// DefaultOptions returns the defaults for a daemon in a zone.
func DefaultOptions(zone string) Options {
	return Options{
		Zone: zone, Daemon: runnerlimit.Daemon{Zone: zone}, UncachedTokenCost: 5, RunningRequestCost: 60, CrossZoneCostEngine: 2000, CrossZoneCostPlain: 0.5,
		FailureCostPlain: 20, FailureCostEngine: 60000, FailureTimeConstant: 3 * time.Second,
		InitialBackoff: 500 * time.Millisecond, MaxBackoff: 4 * time.Second, ZoneRetryInterval: time.Second,
		PeerLoadTTL: 3 * time.Second, CacheFraction: 0.5,
	}
}
