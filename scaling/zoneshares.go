package scaling

import (
	"maps"
	"math"
	"time"
)

// ZoneOptions configures how the division of the demand over zones is followed.
type ZoneOptions struct {
	// TimeConstant is that of the moving averages of the demand, and of their decay once Hold is over.
	TimeConstant time.Duration
	// SilentAfter is the age of the newest report of a zone's daemons from which on the zone is silent, and
	// Hold the time for which its last demand counts then.
	SilentAfter, Hold time.Duration
	// MinRatio is the ratio of the largest share to the mean one from which on demand counts as uneven.
	MinRatio float64
	// MinChange is the difference in a share, and Settle the time for which it has to last, before the shares
	// change: each change costs the boot of a runner.
	MinChange float64
	Settle    time.Duration
	// MinRequests is the number of requests within TimeConstant below which the shares are chance.
	MinRequests float64
}

// DefaultZoneOptions returns the defaults.
func DefaultZoneOptions() ZoneOptions {
	return ZoneOptions{
		TimeConstant: 10 * time.Second, SilentAfter: 3 * time.Second, Hold: 20 * time.Second,
		MinRatio: 1.5, MinChange: 0.1, Settle: 5 * time.Second, MinRequests: 50,
	}
}

// zoneRate is the demand of a zone.
type zoneRate struct {
	last    Demand
	heardAt time.Time
	// skippedUntil is the time until which growth is left out, since a silent zone is heard again: its counts
	// of that time arrive at once.
	skippedUntil time.Time
	// requests, known and work are moving averages of the growth in a second; work is in seconds.
	requests, known, work float64
}

// ZoneShares tells how the demand of a service is divided over the zones of its callers' daemons. It is not safe for
// concurrent use.
type ZoneShares struct {
	options ZoneOptions
	zones   map[string]*zoneRate
	updated time.Time
	// shares is nil while the demand is even, and differsSince the time since which other ones were
	// measured; zero while they agree.
	shares       map[string]float64
	differsSince time.Time
}

// NewZoneShares returns a ZoneShares that assumes even demand.
func NewZoneShares(options ZoneOptions) *ZoneShares {
	return &ZoneShares{options: options, zones: make(map[string]*zoneRate)}
}

// Shares returns the fraction of the demand of each zone, or nil while it is even or not known.
func (s *ZoneShares) Shares() map[string]float64 { return maps.Clone(s.shares) }

// Observe updates the shares.
func (s *ZoneShares) Observe(zones []ZoneDemand, now time.Time) {
	elapsed := now.Sub(s.updated)
	if elapsed <= 0 {
		return
	}
	isFirst := s.updated.IsZero()
	s.updated = now
	for _, zone := range zones {
		rate := s.zones[zone.Zone]
		if rate == nil {
			rate = &zoneRate{last: zone.Demand, heardAt: zone.HeardAt}
			s.zones[zone.Zone] = rate
		}
		if !isFirst {
			rate.observe(zone, elapsed, s.options, now)
		}
	}
	s.settle(s.measured(), now)
}

// observe updates the demand of a zone.
func (r *zoneRate) observe(zone ZoneDemand, elapsed time.Duration, options ZoneOptions, now time.Time) {
	if zone.HeardAt.Sub(r.heardAt) > options.SilentAfter {
		r.skippedUntil = now.Add(options.SilentAfter)
	}
	r.heardAt = zone.HeardAt
	grown, isGrowth := zone.Demand.since(r.last)
	r.last = zone.Demand
	w := weight(elapsed, options.TimeConstant)
	switch silence := now.Sub(r.heardAt); {
	case silence > options.SilentAfter+options.Hold:
		r.add(Demand{}, elapsed, w)
	case silence > options.SilentAfter || now.Before(r.skippedUntil) || !isGrowth:
	default:
		r.add(grown, elapsed, w)
	}
}

func (r *zoneRate) add(grown Demand, elapsed time.Duration, w float64) {
	seconds := elapsed.Seconds()
	r.requests += (float64(grown.Arrived)/seconds - r.requests) * w
	r.known += (float64(grown.Known)/seconds - r.known) * w
	r.work += (float64(grown.ArrivedWork)/millisecondsPerSecond/seconds - r.work) * w
}

// measured returns the present shares, or nil if the demand is even or too low.
func (s *ZoneShares) measured() map[string]float64 {
	var requests, known, work float64
	for _, rate := range s.zones {
		requests += rate.requests
		known += rate.known
		work += rate.work
	}
	if requests*s.options.TimeConstant.Seconds() < s.options.MinRequests {
		return nil
	}
	byWork := known >= knownShare*requests && work > 0
	shares, largest := make(map[string]float64, len(s.zones)), 0.0
	for name, rate := range s.zones {
		shares[name] = rate.requests / requests
		if byWork {
			shares[name] = rate.work / work
		}
		largest = max(largest, shares[name])
	}
	if largest*float64(len(s.zones)) < s.options.MinRatio {
		return nil
	}
	return shares
}

// settle takes measured shares over if they have differed for long enough.
func (s *ZoneShares) settle(measured map[string]float64, now time.Time) {
	if !s.differs(measured) {
		s.differsSince = time.Time{}
		return
	}
	if s.differsSince.IsZero() {
		s.differsSince = now
	}
	if now.Sub(s.differsSince) >= s.options.Settle {
		s.shares, s.differsSince = measured, time.Time{}
	}
}

func (s *ZoneShares) differs(measured map[string]float64) bool {
	if (measured == nil) != (s.shares == nil) {
		return true
	}
	for name := range s.zones {
		if math.Abs(measured[name]-s.shares[name]) >= s.options.MinChange {
			return true
		}
	}
	return false
}
