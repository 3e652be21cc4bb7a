package suspect

import "time"

// CrashOptions are the settings of a CrashTracker.
type CrashOptions struct {
	// Threshold is the number of crashes in a row, over all daemons, from which on the
	// traits that they have in common are refused.
	Threshold int
	// RetryThreshold is the number of crashes in a row from which on a request is not sent to
	// another runner after a failure.
	RetryThreshold int
	// Separation is how far apart crashes count each although a request was sent to the runner
	// of the later one before the earlier one. With zero, only requests that were sent after
	// the earlier one count in both.
	Separation time.Duration
	// Settling is how long after a crash it is taken into account: by then, each daemon has
	// told the others what it knows of it.
	Settling time.Duration
	// Lifetime is how long a crash counts, and how long after the last one its traits are
	// refused.
	Lifetime time.Duration
	// LifeSignDelay is how long after a crash data of its runner may still arrive, and
	// LifeSignWindow is how long after it no new runner takes the place of a crashed one.
	LifeSignDelay, LifeSignWindow time.Duration
	// RemovalTime is how long after a crash requests may still be sent to the runner, in vain.
	RemovalTime time.Duration
	// TrialDelays are the times from the last crash to each request with refused traits
	// that is sent to a runner all the same, to see whether they still crash it.
	TrialDelays []time.Duration
	// MaxCrashes bounds the crashes, MaxAttempts the attempts of each, MaxFindings the
	// findings, and MaxAnswered the traits with answers that are remembered.
	MaxCrashes, MaxAttempts, MaxFindings, MaxAnswered int
	// OnChange is called when a finding changes. It must not block or call the tracker. It
	// may be nil.
	OnChange func(FindingChange)
}

// DefaultCrashOptions returns the defaults.
func DefaultCrashOptions() CrashOptions {
	return CrashOptions{
		Threshold: 3, RetryThreshold: 2, Settling: 500 * time.Millisecond, Lifetime: 10 * time.Minute,
		LifeSignDelay: 100 * time.Millisecond, LifeSignWindow: time.Second, RemovalTime: 6 * time.Second,
		TrialDelays: []time.Duration{5 * time.Second, 30 * time.Second, 2 * time.Minute},
		MaxCrashes:  64, MaxAttempts: 64, MaxFindings: 32, MaxAnswered: 16384,
	}
}

// RunCrashOptions returns the defaults for crashes at any time of a run. Those break off the runs
// of many requests, so that it takes more of them until one is held back. Runs of one request may
// overlap, since they take long.
func RunCrashOptions() CrashOptions {
	options := DefaultCrashOptions()
	options.RetryThreshold = options.Threshold
	options.Separation = time.Second
	return options
}

// WithSettling returns a copy with another settling time.
func (o CrashOptions) WithSettling(settling time.Duration) CrashOptions {
	o.Settling = settling
	return o
}
