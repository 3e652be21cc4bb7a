// Package measure compares routing policies and limits in seeded runs against
// fake runners on a clock of its own. Its daemons use the product's code and
// share only digests and cache events, as late as the product's messages are.
package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cranberrywalk/cranberrywalk/route"
)

// The latency target of both tenants.
const (
	firstTokenTarget    = 400 * time.Millisecond
	betweenTokensTarget = 62 * time.Millisecond
)

const (
	daemons = 7
	// clientDelay is the network time from a client to a daemon, one way.
	clientDelay = time.Millisecond
	// The answers have from shortAnswer to longAnswer tokens.
	shortAnswer = 100
	longAnswer  = 200
	meanAnswer  = (shortAnswer + longAnswer) / 2
	// The prices of an hour in a zone of price 1.
	reclaimablePrice = 1.0
	onDemandPrice    = 3.0
)

// zonePrices multiply the prices of the VM classes.
var zonePrices = [...]float64{0.8, 1.0, 1.0, 1.2}

// Tenant is a user's set-up and workload.
type Tenant struct {
	Name string
	// ZoneDelay is the network time between zones, one way.
	ZoneDelay time.Duration
	// Reclaimable and OnDemand count the runners of a zone.
	Reclaimable, OnDemand []int
	// CostWeight and RecomputeWeight are the weights of the plan.
	CostWeight, RecomputeWeight float64
	// KeyBlocks is the number of first blocks by which the hashing baselines
	// place a prompt, at its best for the tenant.
	KeyBlocks int
	// bound is the mean of the tokens to prefill for one call with an
	// endless cache.
	bound float64
	// speed is the speed of the backend servers.
	speed route.Speed
	// options returns the settings of the view of a daemon in a zone.
	options func(zone string) route.Options
	source  func(random *rand.Rand) source
}

// Porchlight returns the tenant of the tool library.
func Porchlight() Tenant {
	return Tenant{
		Name:        "Porchlight",
		ZoneDelay:   1500 * time.Microsecond,
		Reclaimable: []int{4, 3, 3, 3},
		OnDemand:    []int{1, 2, 2, 2},
		CostWeight:  0.5, RecomputeWeight: 2,
		KeyBlocks: 3,
		bound:     157,
		speed:     route.DefaultSpeed(),
		options:   route.DefaultOptions,
		source:    newPorchlightSource,
	}
}

// Trust returns the tenant of the substitute teachers.
func Trust() Tenant {
	return Tenant{
		Name:        "Trust",
		ZoneDelay:   500 * time.Microsecond,
		Reclaimable: []int{2, 2, 2, 2},
		OnDemand:    []int{1, 1, 1, 1},
		CostWeight:  2, RecomputeWeight: 0.5,
		KeyBlocks: 8,
		bound:     2000,
		speed:     route.DefaultSpeed(),
		options:   route.DefaultOptions,
		source:    newTrustSource,
	}
}

// runners returns the runners of the tenant.
func (t Tenant) runners() []route.Runner {
	var runners []route.Runner
	add := func(zone, index int, class string, price float64) {
		name := zoneName(zone)
		runners = append(runners, route.Runner{
			Name:        fmt.Sprintf("%s-%s-%d", name, class, index),
			Zone:        name,
			Class:       class,
			Price:       price * zonePrices[zone],
			Reclaimable: class == "reclaimable",
		})
	}
	for zone := range t.Reclaimable {
		for i := range t.Reclaimable[zone] {
			add(zone, i, "reclaimable", reclaimablePrice)
		}
		for i := range t.OnDemand[zone] {
			add(zone, i, "on-demand", onDemandPrice)
		}
	}
	return runners
}

// hourlyPrice returns the price of all runners for an hour.
func (t Tenant) hourlyPrice() float64 {
	var price float64
	for _, runner := range t.runners() {
		price += runner.Price
	}
	return price
}

// capacity returns the calls a second at which a number of evenly loaded
// runners reach the target between tokens, with the prefill of an endless
// cache: the batch b for which a step of the batch and its share of prefill
// take the target together.
func (t Tenant) capacity(runners int) float64 {
	speed := t.speed
	target := betweenTokensTarget.Seconds()
	base := speed.Step.Seconds() - float64(speed.FreeBatch)*speed.StepPerStream.Seconds()
	perStream := speed.StepPerStream.Seconds() + t.bound/speed.PrefillTokensPerSecond/meanAnswer
	batch := (target - base) / perStream
	return float64(runners) * batch / (meanAnswer * target)
}

// zoneName returns the name of a zone.
func zoneName(zone int) string { return string(rune('a' + zone)) }
