package daemon

import (
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/limit"
	"github.com/cranberrywalk/cranberrywalk/peer"
	"github.com/cranberrywalk/cranberrywalk/peer/gossip"
	"github.com/cranberrywalk/cranberrywalk/plan"
)

// The names of the fields of a plan that hold its limits.
const (
	fieldRequests = "RequestsPerSecond"
	fieldTokens   = "TokensPerSecond"
)

// admitter implements front.Admitter with rate limits that all daemons share.
type admitter struct {
	identity peer.Identity

	mu      sync.Mutex
	limiter *limit.Limiter
	// reporters are the daemons and groups that report their demand to this daemon.
	reporters []string
	// reported holds the last reported demand, by reporter and limit.
	reported map[string]map[string]float64
}

func newAdmitter(identity peer.Identity) *admitter {
	options := limit.DefaultOptions(identity.Daemon)
	// Daemons repeat an unchanged demand only at long intervals, so a reporter may
	// count as silent only after the time at which the mesh drops its demand.
	options.SilentAfter = gossip.FactLifetime
	return &admitter{
		identity: identity,
		limiter:  limit.New(options),
		reported: make(map[string]map[string]float64),
	}
}

// setVMs sets the VMs whose daemons share the limits.
func (a *admitter) setVMs(vms []hosting.VM) {
	reporters := gossip.Reporters(a.identity, vms)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reporters = reporters
	a.limiter.SetPeers(reporters)
	for name := range a.reported {
		if !slices.Contains(reporters, name) {
			delete(a.reported, name)
		}
	}
}

// Admit implements front.Admitter.
func (a *admitter) Admit(p plan.Plan, tokens int, now time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.allow(p.Name, fieldRequests, p.RequestsPerSecond, 1, now); err != nil {
		return err
	}
	return a.allow(p.Name, fieldTokens, p.TokensPerSecond, float64(tokens), now)
}

func (a *admitter) allow(planName, field string, rate, cost float64, now time.Time) error {
	name := limitName(planName, field)
	a.limiter.SetLimit(name, rate)
	err := a.limiter.Allow(name, cost, now)
	var exceeded *limit.ExceededError
	if errors.As(err, &exceeded) {
		return &limit.ExceededError{Plan: planName, Limit: field, RetryAfter: exceeded.RetryAfter}
	}
	return err
}

// demands returns the rates at which this daemon uses the limits of the plans. It
// lists each limit, also at rate 0, since the mesh passes on the demand of other
// daemons for listed limits only.
func (a *admitter) demands(plans []plan.Plan, now time.Time) []peer.Demand {
	a.mu.Lock()
	defer a.mu.Unlock()
	rates := make(map[string]float64)
	for _, demand := range a.limiter.Demands(now) {
		rates[demand.Limit] = demand.Rate
	}
	var demands []peer.Demand
	for _, p := range plans {
		for _, limited := range limitsOf(p) {
			a.limiter.SetLimit(limited.name, limited.rate)
			if limited.rate > 0 {
				demands = append(demands, peer.Demand{Plan: limited.name, Rate: rates[limited.name]})
			}
		}
	}
	return demands
}

// namedLimit is one limit of a plan; a rate of 0 means unlimited.
type namedLimit struct {
	name string
	rate float64
}

func limitsOf(p plan.Plan) []namedLimit {
	return []namedLimit{
		{name: limitName(p.Name, fieldRequests), rate: p.RequestsPerSecond},
		{name: limitName(p.Name, fieldTokens), rate: p.TokensPerSecond},
	}
}

// limitName returns the name of the limit that a field of a plan holds.
func limitName(planName, field string) string { return planName + "/" + field }

// merge stores the demands in a received message and passes the sender's and each
// reporter's demands to the limiter, which then does not count them as silent.
func (a *admitter) merge(sender peer.Identity, received []peer.Demand, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	reporting := map[string]bool{a.reporterOf(sender): true}
	for _, demand := range received {
		// Only one of the two is set.
		name := demand.Reporter + demand.Group
		if a.reported[name] == nil {
			a.reported[name] = make(map[string]float64)
		}
		a.reported[name][demand.Plan] = demand.Rate
		reporting[name] = true
	}
	for name := range reporting {
		a.limiter.Merge(name, demandsOf(a.reported[name]), now)
	}
}

// reporterOf returns the reporter that covers a daemon: the daemon itself, its
// zone or its region.
func (a *admitter) reporterOf(sender peer.Identity) string {
	for _, name := range []string{sender.Daemon, sender.Region + "/" + sender.Zone, sender.Region} {
		if slices.Contains(a.reporters, name) {
			return name
		}
	}
	return sender.Daemon
}

func demandsOf(rates map[string]float64) []limit.Demand {
	demands := make([]limit.Demand, 0, len(rates))
	for name, rate := range rates {
		demands = append(demands, limit.Demand{Limit: name, Rate: rate})
	}
	slices.SortFunc(demands, func(x, y limit.Demand) int { return strings.Compare(x.Limit, y.Limit) })
	return demands
}
