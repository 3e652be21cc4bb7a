package catalog

import "time"

// Service is a group of runners that serve the same requests.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one runner, from all daemons
	// together. Zero means no bound.
	MaxConnections int
	// Engine is nil for a service that runs no model.
	Engine *Engine
	// Scaling is nil when the number of runners is not ours to order.
	Scaling *Scaling
}

// Engine describes the model engine on each runner of a service.
type Engine struct {
	// CacheTokens is the memory for running requests and cached prompts.
	CacheTokens int
}

// Scaling bounds and prices the runners of a service in each zone.
type Scaling struct {
	// Min and Max bound the runners of a zone, both kinds together.
	Min, Max int
	Boot     time.Duration
	// ReclaimablePrice is the price of a reclaimable runner against one that
	// is not.
	ReclaimablePrice float64
	// ZonePrices is the price of a runner second in each zone.
	ZonePrices map[string]float64
}

// Customer is somebody whose callers send requests.
type Customer struct {
	Name string
	// Keys are the API keys in force.
	Keys []string
	// Priority replaces that of the route when HasPriority is true.
	Priority    int
	HasPriority bool
	Quota       Quota
}

// Quota bounds what a customer may use over all daemons.
type Quota struct {
	// Rate is in units a second; zero means no bound.
	Rate  float64
	Burst float64
	// InTokens is true when the unit is a token, and false for a request.
	InTokens bool
	// PlainTokens is charged for a request that tells no number of tokens.
	PlainTokens int
}

// Cost returns what a request counts against the quota. tokens is zero when
// the request tells no number.
func (q Quota) Cost(tokens int) float64 {
	switch {
	case !q.InTokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	default:
		return float64(q.PlainTokens)
	}
}
