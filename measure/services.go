package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cranberrywalk/cranberrywalk/route"
)

// A plain service answers up to serviceBatch concurrent calls in serviceTime and
// slows down in proportion above that. The simulation models its answer as a first
// token and serviceSteps more tokens.
const (
	serviceServers  = 4
	serviceBatch    = 4
	serviceSteps    = 10
	serviceTime     = 100 * time.Millisecond
	serviceDeadline = time.Second
	// confirmationShare is the share of confirmations; the other calls are roster
	// reads.
	confirmationShare = 0.2
	// serviceCapacity is in calls per second.
	serviceCapacity = serviceServers * serviceBatch / (float64(serviceTime) / float64(time.Second))
)

// trustServices returns a tenant for the plain service of the Trust.
func trustServices() Tenant {
	t := Trust()
	t.Name = "Trust services"
	t.Reclaimable, t.OnDemand = []int{1, 0, 1, 0}, []int{0, 1, 0, 1}
	t.options = func(zone string) route.Options {
		return route.ServiceOptions(zone, serviceTime/serviceSteps, serviceBatch)
	}
	t.speed = t.options("").Speed
	t.source = func(random *rand.Rand) source { return &serviceSource{random: random} }
	return t
}

// serviceSource generates confirmations and, at a lower priority, roster reads.
type serviceSource struct {
	random *rand.Rand
}

// next implements source.
func (s *serviceSource) next() *call {
	c := &call{kind: rosterRead, answerTokens: serviceSteps + 1}
	if s.random.Float64() < confirmationShare {
		c.kind = confirmation
		c.route.Priority = 1
	}
	c.route.FirstToken = serviceDeadline
	c.route.BetweenTokens = serviceDeadline / serviceSteps
	return c
}

// serviceTable compares the policies in the dawn surge at the plain service.
func serviceTable(seeds int) *table {
	t := trustServices()
	compared := []route.Policy{
		route.NewServiceScore(), route.RoundRobin{}, route.LeastInFlight{}, route.LeastInFlight{OwnOnly: true},
	}
	results := overSeeds(len(compared), seeds, func(variant int, seed uint64) surgeOutcome {
		return runSurge(t, serviceCapacity, compared[variant], seed)
	})
	out := &table{
		title: "Trust: dawn surge at the plain services",
		note: fmt.Sprintf("The same surge at %d servers that answer %.0f calls a second together; in time is within %s. "+
			"Confirmations have the higher priority, and the servers know none.",
			serviceServers, serviceCapacity, serviceDeadline),
		columns: surgeColumns("confirmations", "rosters"),
	}
	for i, policy := range compared {
		out.add(append([]string{policy.Name()}, kindRow(results[i], confirmation, rosterRead)...)...)
	}
	return out
}
