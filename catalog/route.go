package catalog

import "time"

// Kind is the kind of a route's requests: how often one may run and how it is
// answered.
type Kind int

const (
	// Once means that a request may run at most once.
	Once Kind = iota
	// Idempotent means that a request may run more than once.
	Idempotent
	// Stream means that a request is answered with server-sent events.
	Stream
)

var kindNames = [...]string{"Once", "Idempotent", "Stream"}

// String returns the kind's name.
func (k Kind) String() string { return kindNames[k] }

// Split is the weight of a service among the services of a route.
type Split struct {
	Service string
	Weight  int
}

// Route configures how the requests to a host below a path prefix are served.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller waits.
	Timeout time.Duration
	// TargetLatency is the target latency of the answer, or of the first event of a
	// stream.
	TargetLatency time.Duration
	// TargetGap is the target for the longest gap between events of a stream.
	TargetGap time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	// Splits is not empty.
	Splits []Split
	// MaxAttempts bounds the runners that one request is sent to. It is at
	// least 1.
	MaxAttempts int
	Anonymous   bool
	Resumable   bool
}

// Repeatable reports whether a request may be sent to another runner after a first
// one may have started to run it.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Pick returns the service for a request, chosen by weight. point is in [0, 1), and
// the same point always picks the same service.
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
