// Package idlelimit estimates how long connections to servers may be idle before the
// servers drop them. A dropped connection is not closed visibly: the next request on it
// is reset. The package performs no I/O.
package idlelimit

import (
	"slices"
	"sync"
	"time"
)

// Options are the settings of an Estimator.
type Options struct {
	// MinIdle is an idle time up to which connections are always reused. The reset of
	// such a connection is taken for a failure of the server.
	MinIdle time.Duration
	// SafeFraction is the fraction of the shortest idle time before a reset that other
	// connections may be idle.
	SafeFraction float64
	// Lifetime is how long a reset counts for requests that tolerate one. While it no
	// longer counts, these requests show whether idle connections are still dropped.
	Lifetime time.Duration
	// CautiousLifetime is how long a reset counts for requests that tolerate none. It is
	// longer than Lifetime.
	CautiousLifetime time.Duration
	// MaxResets bounds the resets that are remembered.
	MaxResets int
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{
		MinIdle: 50 * time.Millisecond, SafeFraction: 0.5,
		Lifetime: 2 * time.Second, CautiousLifetime: 10 * time.Second, MaxResets: 64,
	}
}

// reset is the reset of a connection that was reused.
type reset struct {
	address string
	// idle is how long the connection had been idle.
	idle time.Duration
	at   time.Time
}

// Estimator learns from requests on reused connections. It is safe for concurrent use.
//
// A single reset may also be the crash of a server. Therefore it applies to requests that
// tolerate no reset at once, but to the others only after a second one.
type Estimator struct {
	options Options

	mutex sync.Mutex
	// resets holds at most MaxResets resets, the oldest first.
	resets []reset
}

// New returns an Estimator without resets.
func New(options Options) *Estimator { return &Estimator{options: options} }

// RecordReset records that a reused connection was reset after it had been idle. It
// reports whether the reset counts, which it does not after a short idle time.
func (e *Estimator) RecordReset(address string, idle time.Duration, now time.Time) bool {
	if idle <= e.options.MinIdle {
		return false
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if len(e.resets) >= e.options.MaxResets {
		e.resets = slices.Delete(e.resets, 0, 1)
	}
	e.resets = append(e.resets, reset{address: address, idle: idle, at: now})
	return true
}

// RecordReuse records that a connection was answered after it had been idle. sent is when
// the request was sent. Earlier resets of connections to the same address that had been
// idle no longer than this one are forgotten.
func (e *Estimator) RecordReuse(address string, idle time.Duration, sent time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.resets = slices.DeleteFunc(e.resets, func(r reset) bool {
		return r.address == address && r.idle <= idle && r.at.Before(sent)
	})
}

// Limit returns how long a connection to the address may have been idle to be reused for
// a request, and false if there is no limit. toleratesReset is true if the request can be
// repeated after a reset.
func (e *Estimator) Limit(address string, toleratesReset bool, now time.Time) (time.Duration, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.expire(now)
	if len(e.resets) == 0 {
		return 0, false
	}
	if toleratesReset {
		return e.limitOf(e.tolerantEvidence(address, now))
	}
	return e.limitOf(e.cautiousEvidence(address, now))
}

// Lowest returns the lowest limit that applies to any request, and false if there is none.
func (e *Estimator) Lowest(now time.Time) (time.Duration, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.expire(now)
	return e.limitOf(e.resets)
}

func (e *Estimator) expire(now time.Time) {
	e.resets = slices.DeleteFunc(e.resets, func(r reset) bool {
		return now.Sub(r.at) >= e.options.CautiousLifetime
	})
}

// cautiousEvidence returns the resets that count for a request to the address that
// tolerates none. Resets at a single other address count for a short time, since that
// server may have crashed.
func (e *Estimator) cautiousEvidence(address string, now time.Time) []reset {
	if hasSeveralAddresses(e.resets) {
		return e.resets
	}
	return filter(e.resets, func(r reset) bool { return r.address == address || e.isRecent(r, now) })
}

// tolerantEvidence returns the resets that count for a request to the address that
// tolerates one: recent ones at several addresses, or several at this one.
func (e *Estimator) tolerantEvidence(address string, now time.Time) []reset {
	recent := filter(e.resets, func(r reset) bool { return e.isRecent(r, now) })
	if hasSeveralAddresses(recent) {
		return recent
	}
	own := filter(recent, func(r reset) bool { return r.address == address })
	if len(own) < 2 {
		return nil
	}
	return own
}

func (e *Estimator) isRecent(r reset, now time.Time) bool { return now.Sub(r.at) < e.options.Lifetime }

// limitOf returns the limit that follows from resets.
func (e *Estimator) limitOf(resets []reset) (time.Duration, bool) {
	if len(resets) == 0 {
		return 0, false
	}
	shortest := resets[0].idle
	for _, r := range resets {
		shortest = min(shortest, r.idle)
	}
	return max(time.Duration(e.options.SafeFraction*float64(shortest)), e.options.MinIdle), true
}

func hasSeveralAddresses(resets []reset) bool {
	return slices.ContainsFunc(resets, func(r reset) bool { return r.address != resets[0].address })
}

func filter(resets []reset, matches func(reset) bool) []reset {
	var matching []reset
	for _, r := range resets {
		if matches(r) {
			matching = append(matching, r)
		}
	}
	return matching
}
