package daemon

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/cranberrywalk/cranberrywalk/limit"
	"github.com/cranberrywalk/cranberrywalk/peer"
	"github.com/cranberrywalk/cranberrywalk/plan"
)

// admitter implements front.Admitter: each daemon gets an even share of every
// plan's limits.
type admitter struct {
	mu sync.Mutex
	// daemons is the number of daemons that share a limit, at least 1.
	daemons int
	buckets map[string]*bucket
}

// bucket holds the local limits of one plan.
type bucket struct {
	requests *rate.Limiter
	tokens   *rate.Limiter
}

func newAdmitter() *admitter {
	return &admitter{daemons: 1, buckets: make(map[string]*bucket)}
}

// setDaemons takes over the number of daemons in the region.
func (a *admitter) setDaemons(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.daemons = max(n, 1)
}

// Admit implements front.Admitter.
func (a *admitter) Admit(p plan.Plan, tokens int, now time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.bucket(p, now)
	if err := take(b.requests, 1, p.Name, "RequestsPerSecond", now); err != nil {
		return err
	}
	return take(b.tokens, tokens, p.Name, "TokensPerSecond", now)
}

func (a *admitter) bucket(p plan.Plan, now time.Time) *bucket {
	b := a.buckets[p.Name]
	if b == nil {
		b = &bucket{requests: newLimiter(p.RequestsPerSecond), tokens: newLimiter(p.TokensPerSecond)}
		a.buckets[p.Name] = b
	}
	share(b.requests, p.RequestsPerSecond, a.daemons, now)
	share(b.tokens, p.TokensPerSecond, a.daemons, now)
	return b
}

// newLimiter returns a limiter with a burst of one second of the whole limit,
// which is free at first.
func newLimiter(limit float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(limit), int(math.Ceil(limit)))
}

// share sets a limiter to an even share of the limit; 0 is no limit.
func share(limiter *rate.Limiter, limit float64, daemons int, now time.Time) {
	wanted := rate.Limit(limit / float64(daemons))
	if limit == 0 {
		wanted = rate.Inf
	}
	if limiter.Limit() != wanted {
		limiter.SetLimitAt(now, wanted)
		limiter.SetBurstAt(now, int(math.Ceil(limit)))
	}
}

func take(limiter *rate.Limiter, n int, planName, field string, now time.Time) error {
	reservation := limiter.ReserveN(now, min(n, max(limiter.Burst(), 1)))
	if delay := reservation.DelayFrom(now); reservation.OK() && delay > 0 {
		reservation.CancelAt(now)
		return &limit.ExceededError{Plan: planName, Limit: field, RetryAfter: delay}
	}
	return nil
}

// demands returns the rates at which plans are used here.
func (a *admitter) demands(time.Time) []peer.Demand { return nil }

// merge takes over the rates at which plans are used at peers.
func (a *admitter) merge([]peer.Demand, time.Time) {}
