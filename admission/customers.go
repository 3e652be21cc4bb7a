package admission

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// counter is a pair of decaying counts.
type counter struct {
	recent, usual float64
	at            time.Time
}

// decay brings the counts to a time.
func (c *counter) decay(options Options, now time.Time) {
	passed := now.Sub(c.at)
	if passed < -maxEarlier {
		c.at = now
	}
	if passed <= 0 {
		return
	}
	c.recent *= 1 - weightOf(passed, options.RecentTimeConstant)
	c.usual *= 1 - weightOf(passed, options.UsualTimeConstant)
	c.at = now
}

// customers compares the recent share of each customer in the requests of a service with its usual
// share. One daemon sees the part of the requests that reaches it.
type customers struct {
	options Options
	all     counter
	byName  *simplelru.LRU[string, *counter]
}

func newCustomers(options Options, now time.Time) *customers {
	// The only failure of NewLRU is a size below 1.
	byName, _ := simplelru.NewLRU[string, *counter](max(options.MaxCustomers, 1), nil)
	return &customers{options: options, all: counter{at: now}, byName: byName}
}

// The number of requests by which a customer exceeds its usual load has to be significant: a daemon
// that sees few requests would take chance for a surge.
const (
	surgeDeviations = 2.5
	minSurge        = 2
)

// add counts a request of a customer. It returns the fraction of the customer's requests that are
// beyond its usual load, or zero if that is not certain. These hardly raise what is usual for it.
func (c *customers) add(name string, now time.Time) float64 {
	own, found := c.byName.Get(name)
	if !found {
		own = &counter{at: now}
		c.byName.Add(name, own)
	}
	own.decay(c.options, now)
	c.all.decay(c.options, now)
	own.recent++
	c.all.recent++
	excess := c.excess(own)
	own.usual += 1 - excess
	c.all.usual += 1 - excess
	return excess
}

// peek returns the fraction of the requests of a customer that are beyond its usual load.
func (c *customers) peek(name string, now time.Time) float64 {
	own, found := c.byName.Peek(name)
	if !found {
		return 0
	}
	own.decay(c.options, now)
	c.all.decay(c.options, now)
	return c.excess(own)
}

// minOthersShare bounds the ratio of a customer's usual requests to those of the others.
const minOthersShare = 1e-3

// excess compares the recent requests of a customer with those that are usual beside the recent requests
// of the others.
func (c *customers) excess(own *counter) float64 {
	usualShare := c.options.MinUsualShare
	if c.all.usual > 0 {
		usualShare = max(own.usual/c.all.usual, usualShare)
	}
	others := c.all.recent - own.recent
	expected := max(others, 0) * usualShare / max(1-usualShare, minOthersShare)
	limit := c.options.SurgeRatio*expected + surgeDeviations*math.Sqrt(expected) + minSurge
	if own.recent <= limit || others < minSurge {
		return 0
	}
	return 1 - c.options.SurgeRatio*expected/own.recent
}
