// Package measure compares routing policies and rate limits in seeded simulations
// with fake runners and a simulated clock. The simulated daemons use the product's
// code. They exchange only digests and cache events, with the delays of the real
// messages.
package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cranberrywalk/cranberrywalk/route"
)

// The latency targets of both tenants.
const (
	firstTokenTarget    = 400 * time.Millisecond
	betweenTokensTarget = 62 * time.Millisecond
)

const (
	daemonCount = 7
	// clientDelay is the one-way network delay between a client and a daemon.
	clientDelay = time.Millisecond
	// Answers have from minAnswerTokens to maxAnswerTokens tokens.
	minAnswerTokens  = 100
	maxAnswerTokens  = 200
	meanAnswerTokens = (minAnswerTokens + maxAnswerTokens) / 2
	// Prices per hour in a zone with the price factor 1.
	reclaimablePrice = 1.0
	onDemandPrice    = 3.0
)

// zonePrices are the factors by zone for the prices of the VM classes.
var zonePrices = [...]float64{0.8, 1.0, 1.0, 1.2}

// Tenant is the deployment and the workload of one organization.
type Tenant struct {
	Name string
	// ZoneDelay is the one-way network delay between zones.
	ZoneDelay time.Duration
	// Reclaimable and OnDemand are the numbers of runners by zone.
	Reclaimable, OnDemand []int
	// CostWeight and RecomputeWeight are the weights of the plan.
	CostWeight, RecomputeWeight float64
	// KeyBlocks is the number of leading blocks that the hashing baselines hash.
	// Its value is the one that works best for the tenant.
	KeyBlocks int
	// meanPrefillBound is the mean number of tokens to prefill for one call with
	// an unlimited cache.
	meanPrefillBound float64
	speed            route.Speed
	// options returns the options for the view of a daemon in a zone.
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
		KeyBlocks:        3,
		meanPrefillBound: 157,
		speed:            route.DefaultSpeed(),
		options:          route.DefaultOptions,
		source:           newPorchlightSource,
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
		KeyBlocks:        8,
		meanPrefillBound: 2000,
		speed:            route.DefaultSpeed(),
		options:          route.DefaultOptions,
		source:           newTrustSource,
	}
}

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

// hourlyPrice returns the price of all runners per hour.
func (t Tenant) hourlyPrice() float64 {
	var price float64
	for _, runner := range t.runners() {
		price += runner.Price
	}
	return price
}

// idealCapacity returns the rate in calls per second at which a number of evenly
// loaded runners just reach betweenTokensTarget with an unlimited cache: with that
// batch size, a decode step and its share of the prefills take the target together.
func (t Tenant) idealCapacity(runners int) float64 {
	speed := t.speed
	target := betweenTokensTarget.Seconds()
	base := speed.Step.Seconds() - float64(speed.FreeBatch)*speed.StepPerStream.Seconds()
	perStream := speed.StepPerStream.Seconds() + t.meanPrefillBound/speed.PrefillTokensPerSecond/meanAnswerTokens
	batch := (target - base) / perStream
	return float64(runners) * batch / (meanAnswerTokens * target)
}

func zoneName(zone int) string { return string(rune('a' + zone)) }
