package rollout

import "time"

// Options configures roll-outs.
type Options struct {
	// ExposureShare is the share of a service's requests that a bad version may get, and
	// ExposureSlack the number of requests that it may get beyond that.
	ExposureShare float64
	ExposureSlack int
	// RollbackTime is the time from the 50th bad response within which requests to a bad version
	// must stop.
	RollbackTime time.Duration
	// Safety is the part of ExposureShare that is used.
	Safety float64
	// MinTrialShare is the part of the period that a trial lasts at least.
	MinTrialShare float64
	// LateFaultTime is how much longer a trial lasts at least, up to MaxLateFaultShare of the
	// period, so that a fault that begins with the other part of the period is seen.
	LateFaultTime     time.Duration
	MaxLateFaultShare float64
	// DrainFactor times the longest response of the other versions is the time that is
	// reserved for the end of their streams, and EndReserve the time that is reserved for
	// another holder to take over.
	DrainFactor float64
	EndReserve  time.Duration
	// SwitchTime is the time in which all daemons learn of a switch and report that they have
	// nothing in flight at the other versions. It is zero if that takes no time.
	SwitchTime time.Duration
	// ClosingTime is how long Closing lasts at least, so that the holder hears of daemons that have
	// just started.
	ClosingTime time.Duration
	// RefusalTime is how long a daemon that stops in Closing refuses requests while the holder has
	// not decided. It is a part of RollbackTime.
	RefusalTime time.Duration
	// MaxDrainShare is the part of the period up to which a trial without a result is ended for
	// the streams of the other versions.
	MaxDrainShare float64
	// WriteTime is the time before the deadline at which an order is rolled back that can't be
	// completed, so that its status is written by then.
	WriteTime time.Duration
	// FalseBadRate is the intended rate of good versions that are rolled back, and FalseGoodRate
	// that of bad versions that enter Switch. FalseGoodNarrowRate is the latter for faults on one
	// route or under load only, where there are fewer responses.
	FalseBadRate, FalseGoodRate, FalseGoodNarrowRate float64
	// LimitFailures is the number of failures beyond those of the other versions, and LimitSlow
	// the number of responses, LimitDelay ago, from which on the target is bad unless the
	// evidence against that is LimitEvidence at least.
	LimitFailures, LimitSlow int
	LimitDelay               time.Duration
	LimitEvidence            float64
	// RecentEvidence is the evidence against a bad version needed in a window that covers all of
	// the time since MinTrialShare, and RecentEvidenceRate that for each second of a shorter one.
	RecentEvidenceRate, RecentEvidence float64
	// SwitchEvidence is the evidence of a bad version up to which a switch may be completed.
	SwitchEvidence float64
}

// messageTime is the part of RollbackTime for the exchange of reports and the judgement.
const messageTime = 2 * time.Second

// DefaultOptions returns the options for the bounds of the settings.
func DefaultOptions(exposureShare float64, exposureSlack int, rollbackTime time.Duration) Options {
	return Options{
		ExposureShare: exposureShare, ExposureSlack: exposureSlack, RollbackTime: rollbackTime,
		Safety: 0.9, FalseBadRate: 0.01, FalseGoodRate: 0.001, FalseGoodNarrowRate: 0.05,
		MinTrialShare: 0.5, LateFaultTime: 4 * time.Second, MaxLateFaultShare: 0.2,
		DrainFactor: 1.5, EndReserve: 3 * time.Second, MaxDrainShare: 0.125, WriteTime: time.Second,
		LimitFailures: 25, LimitSlow: 45, LimitDelay: rollbackTime - messageTime, LimitEvidence: 2,
		ClosingTime: time.Second, RefusalTime: rollbackTime / 2,
		RecentEvidenceRate: 0.4, RecentEvidence: 5, SwitchEvidence: 1,
	}
}

// IsEnabled reports whether the settings name the bounds that roll-outs need.
func (o Options) IsEnabled() bool { return o.ExposureShare > 0 && o.RollbackTime > 0 }
