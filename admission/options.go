package admission

import "time"

// Options are the settings of a Controller.
type Options struct {
	// RefreshInterval is the time between two evaluations of the load of a service.
	RefreshInterval time.Duration
	// DemandTimeConstant is that of the moving average of the requests that arrive in a second.
	DemandTimeConstant time.Duration
	// FlowTimeConstant is that of the moving averages from which the time is derived for which a request
	// occupies a slot. It exceeds that time for most services.
	FlowTimeConstant time.Duration
	// WarmUp is the time in which a new controller learns the rates of a service and admits all requests.
	WarmUp time.Duration
	// ShareTimeConstant is that of the moving average of the admitted share.
	ShareTimeConstant time.Duration
	// MixTimeConstant is that of the moving average of the classes of requests.
	MixTimeConstant time.Duration
	// Horizon is the time in which the number of waiting requests is to reach its set point. An error
	// of the capacity adds its product with that time to the wait. It may be as short as the age of
	// the figures since the requests in flight are predicted.
	Horizon time.Duration
	// Headroom is the part of the capacity by which the demand may exceed it while slots are free: both
	// are estimates.
	Headroom float64
	// ContendedOccupancy is the fraction of the slots that is occupied when requests are refused that would
	// miss their deadlines.
	ContendedOccupancy float64
	// WaitShare is the fraction of the time that requests have beyond their expected response time
	// which they may spend waiting.
	WaitShare float64
	// MinWait and MaxWait bound the wait that results from WaitShare.
	MinWait, MaxWait time.Duration
	// MinShare is the fraction of the requests of each class that is admitted, as long as the fraction
	// of all requests is not lower.
	MinShare float64
	// MinRetryAfter and MaxRetryAfter bound the Retry-After before its jitter.
	MinRetryAfter, MaxRetryAfter time.Duration
	// UsualTimeConstant and RecentTimeConstant are those of the usual and the recent share of a customer in
	// the requests of a service.
	UsualTimeConstant, RecentTimeConstant time.Duration
	// SurgeRatio is the ratio of the recent to the usual load of a customer above which it counts as a
	// surge.
	SurgeRatio float64
	// MinUsualShare is the share in the requests of a service that is usual for each customer.
	MinUsualShare float64
	// MaxCustomers bounds the customers of a service that are tracked.
	MaxCustomers int
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{
		RefreshInterval: 100 * time.Millisecond, DemandTimeConstant: 500 * time.Millisecond, FlowTimeConstant: 5 * time.Second, WarmUp: 3 * time.Second, ShareTimeConstant: 300 * time.Millisecond,
		MixTimeConstant: 4 * time.Second, Horizon: 500 * time.Millisecond, Headroom: 0.05, ContendedOccupancy: 0.9, WaitShare: 0.2,
		MinWait: 20 * time.Millisecond, MaxWait: 500 * time.Millisecond, MinShare: 0.05,
		MinRetryAfter: 100 * time.Millisecond, MaxRetryAfter: 3 * time.Second,
		UsualTimeConstant: time.Minute, RecentTimeConstant: 3 * time.Second, SurgeRatio: 2, MinUsualShare: 0.05, MaxCustomers: 256,
	}
}
