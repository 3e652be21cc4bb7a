package scaling

import (
	"math/bits"
	"time"

	"github.com/cranberrywalk/cranberrywalk/catalog"
)

// Request describes a request as far as it counts as demand.
type Request struct {
	Service, Route string
	// PromptTokens and MaxTokens are zero for requests to plain services.
	PromptTokens, MaxTokens int
	// Customer is empty if it is not known, and Quota is that of the customer.
	Customer string
	Quota    catalog.Quota
	// Cost is what the request costs of the quota.
	Cost float64
	// Daemons is the number of daemons, at least 1, among which the quota is divided.
	Daemons int
}

// kind tells apart the requests whose work differs. Sizes are told apart by powers of two.
type kind struct {
	service, route string
	prompt, events int
}

// maxSize bounds the sizes that are told apart.
const maxSize = 23

func (r Request) kind() kind {
	return kind{service: r.Service, route: r.Route, prompt: sizeOf(r.PromptTokens), events: sizeOf(r.MaxTokens)}
}

func sizeOf(tokens int) int { return min(bits.Len(uint(max(tokens, 0))), maxSize) }

// Demand counts requests. The counts of a process never decrease.
type Demand struct {
	// Arrived counts the requests within the quotas of their customers, and Refused those of them that
	// were refused for lack of capacity. Known counts those whose work is known.
	Arrived, Refused, Known uint64
	// ArrivedWork and RefusedWork are the expected work of those in Known: the milliseconds for which a
	// typical runner is occupied with them while it is not overloaded.
	ArrivedWork, RefusedWork uint64
}

// plus returns the sum of two counts.
func (d Demand) plus(other Demand) Demand {
	d.Arrived += other.Arrived
	d.Refused += other.Refused
	d.Known += other.Known
	d.ArrivedWork += other.ArrivedWork
	d.RefusedWork += other.RefusedWork
	return d
}

// since returns the growth since an earlier count, or false if one of the numbers has fallen.
func (d Demand) since(earlier Demand) (Demand, bool) {
	if d.Arrived < earlier.Arrived || d.Refused < earlier.Refused || d.Known < earlier.Known ||
		d.ArrivedWork < earlier.ArrivedWork || d.RefusedWork < earlier.RefusedWork {
		return Demand{}, false
	}
	return Demand{
		Arrived: d.Arrived - earlier.Arrived, Refused: d.Refused - earlier.Refused, Known: d.Known - earlier.Known,
		ArrivedWork: d.ArrivedWork - earlier.ArrivedWork, RefusedWork: d.RefusedWork - earlier.RefusedWork,
	}, true
}

const (
	// maxDaemonRate is more requests a second than a daemon can serve.
	maxDaemonRate = 20_000
	// minReportPeriod is a lower bound of the time between two reports, for those that are read at once.
	minReportPeriod = time.Second
	// maxWork bounds the expected work of a request.
	maxWork = 10 * time.Minute
)

// isPlausible reports whether the counts of one daemon can have grown by that much in a time.
func (d Demand) isPlausible(passed time.Duration) bool {
	most := maxDaemonRate * max(passed, minReportPeriod).Seconds()
	return float64(max(d.Arrived, d.Refused, d.Known)) <= most &&
		float64(max(d.ArrivedWork, d.RefusedWork)) <= most*float64(maxWork.Milliseconds())
}

// knownShare is the fraction of the requests whose work has to be known for the work to be used in place
// of counts.
const knownShare = 0.9

// hasWork reports whether the work of the requests is known.
func (d Demand) hasWork() bool {
	return d.Arrived > 0 && float64(d.Known) >= knownShare*float64(d.Arrived)
}
