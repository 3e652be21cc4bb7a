package catalog

import "time"

// Kind says how often a request of a route may run and how it is answered.
type Kind int

const (
	// Once is the kind of requests that may run at most once.
	Once Kind = iota
	// Idempotent is the kind of requests that may run more than once.
	Idempotent
	// Stream is the kind of requests that are answered by server-sent events.
	Stream
)

var kindNames = [...]string{"Once", "Idempotent", "Stream"}

// String returns the kind's name.
func (k Kind) String() string { return kindNames[k] }

// Split is the share of a route's requests that a service gets.
type Split struct {
	Service string
	Weight  int
}

// Route says what happens to the requests of a host below a path.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Target is the time to the answer, or to the first event of a stream.
	Target time.Duration
	// TargetGap is the longest pause between events of a stream.
	TargetGap time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	// Splits is not empty.
	Splits []Split
	// MaxAttempts bounds the runners that one request is sent to; at least 1.
	MaxAttempts int
	Anonymous   bool
	Resumable   bool
}

// Repeatable reports whether a request may be sent to another runner after
// one may have begun to run it.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Pick returns the service of a request. The same point, at least 0 and below
// 1, always gives the same service of the same route.
func (r Route) Pick(point float64) string {
	total := 0
	for _, split := range r.Splits {
		total += split.Weight
	}
	left := point * float64(total)
	for _, split := range r.Splits {
		left -= float64(split.Weight)
		if left < 0 {
			return split.Service
		}
	}
	return r.Splits[0].Service
}
