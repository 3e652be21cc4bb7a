package catalog

import "time"

// Service is a group of runners that serve the same requests.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one runner from all daemons
	// together. Zero means no limit.
	MaxConnections int
	// Engine is nil for a service that runs no model.
	Engine *Engine
	// Scaling is nil if this system does not control the number of runners.
	Scaling *Scaling
}

// Engine describes the model engine on each runner of a service.
type Engine struct {
	// CacheTokens is the capacity of the KV cache for running requests and cached
	// prompts, in tokens.
	CacheTokens int
}

// Scaling holds the limits and prices for the runners of a service in each zone.
type Scaling struct {
	// Min and Max bound the number of runners per zone, reclaimable and on-demand
	// together.
	Min, Max int
	BootTime time.Duration
	// ReclaimablePrice is the price of a reclaimable runner relative to an
	// on-demand one.
	ReclaimablePrice float64
	// ZonePrices holds the price of one runner for one second by zone.
	ZonePrices map[string]float64
}

// Customer owns API keys. Its callers send requests with them.
type Customer struct {
	Name string
	// Keys are the valid API keys.
	Keys []string
	// Priority overrides the route's priority if HasPriority is true.
	Priority    int
	HasPriority bool
	Quota       Quota
}

// Quota bounds the usage of a customer across all daemons.
type Quota struct {
	// Rate is in units per second. Zero means no limit.
	Rate  float64
	Burst float64
	// InTokens is true if the unit is tokens, and false if it is requests.
	InTokens bool
	// DefaultTokens is the charge for a request without a token count.
	DefaultTokens int
}

// Cost returns the charge for a request against the quota. tokens is zero if the
// request has no token count.
func (q Quota) Cost(tokens int) float64 {
	switch {
	case !q.InTokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	default:
		return float64(q.DefaultTokens)
	}
}
