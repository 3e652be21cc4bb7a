package balance

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/capacity"
	"github.com/cranberrywalk/cranberrywalk/inventory"
	"github.com/cranberrywalk/cranberrywalk/runnerlimit"
)

// ServiceStarts is the number of requests of a service that one daemon has sent to
// runners since it started.
type ServiceStarts struct {
	Service string
	Count   uint64
	// Arrived counts the requests that have arrived at the daemon for the service.
	Arrived uint64
}

// Report is what one daemon tells the others about its requests and the runners. Its
// fields are part of the wire format of digests.
type Report struct {
	Loads  []Load
	Starts []ServiceStarts
	// Leaving holds the incarnations that have said in answers that they are leaving,
	// while their records do not.
	Leaving []inventory.Incarnation
	// Limits tells which limits runners have named in answers.
	Limits []LimitReport
	// Demands are the requests that the daemon has had for each service.
	Demands []runnerlimit.Demand
	// Capacity is what the daemon has observed of the speed of runners.
	Capacity capacity.Report
}

// peerReports holds the last report of each other daemon. The loads are summed for each
// runner when a report arrives, so that a choice does not depend on the number of
// daemons.
type peerReports struct {
	// lifetime is how long the loads of a report are used.
	lifetime time.Duration
	byPeer   map[string]peerReport
	// sums holds the sum of the loads in byPeer for each runner.
	sums map[string]Load
	// nextExpiry is the earliest time at which a report in byPeer expires.
	nextExpiry time.Time
	// flows holds the growth of the counts of each service in the reports so far.
	flows map[string]Flow
	// base is the time of the first report, and sinceBase the sum of the times from it to those of the
	// reports in byPeer, in microseconds: 300 daemons would overflow nanoseconds within a year.
	base      time.Time
	sinceBase int64
	// generation changes whenever a process of a daemon joins or leaves byPeer.
	generation uint64
}

type peerReport struct {
	received time.Time
	// incarnation is that of the process that made the report.
	incarnation string
	Report
}

func newPeerReports(lifetime time.Duration) peerReports {
	return peerReports{
		lifetime: lifetime, byPeer: make(map[string]peerReport), sums: make(map[string]Load), flows: make(map[string]Flow),
	}
}

// set replaces the report of a peer.
func (p *peerReports) set(peer runnerlimit.Daemon, report Report, now time.Time) {
	earlier, isHeard := p.byPeer[peer.Name]
	if isHeard && earlier.incarnation == peer.Incarnation {
		p.addFlows(earlier.Starts, report.Starts, now.Sub(earlier.received))
	} else {
		p.generation++
	}
	p.remove(peer.Name)
	p.add(report.Loads, 1)
	if p.base.IsZero() {
		p.base = now
	}
	p.sinceBase += now.Sub(p.base).Microseconds()
	if expiry := now.Add(p.lifetime); len(p.byPeer) == 0 || expiry.Before(p.nextExpiry) {
		p.nextExpiry = expiry
	}
	p.byPeer[peer.Name] = peerReport{received: now, incarnation: peer.Incarnation, Report: report}
}

// remove takes the report of a peer out of the sums, if there is one.
func (p *peerReports) remove(peer string) {
	report, found := p.byPeer[peer]
	if !found {
		return
	}
	p.add(report.Loads, -1)
	p.sinceBase -= report.received.Sub(p.base).Microseconds()
	delete(p.byPeer, peer)
}

// meanAge returns the mean age of the reports.
func (p *peerReports) meanAge(now time.Time) time.Duration {
	p.dropExpired(now)
	if len(p.byPeer) == 0 {
		return 0
	}
	mean := time.Duration(p.sinceBase/int64(len(p.byPeer))) * time.Microsecond
	return max(now.Sub(p.base)-mean, 0)
}

// maxReportedLoad bounds the figures of a load in a report, so that false ones can't make a sum negative.
const maxReportedLoad = 1 << 30

// add adds loads to the sums, or subtracts them if sign is -1.
func (p *peerReports) add(loads []Load, sign int) {
	for _, load := range loads {
		sum := p.sums[load.Runner]
		sum.Running += sign * min(max(load.Running, 0), maxReportedLoad)
		sum.PrefillTokens += sign * min(max(load.PrefillTokens, 0), maxReportedLoad)
		if sum.Running == 0 && sum.PrefillTokens == 0 {
			delete(p.sums, load.Runner)
			continue
		}
		p.sums[load.Runner] = sum
	}
}

// load returns the load that the peers put on a runner.
func (p *peerReports) load(runner string, now time.Time) Load {
	p.dropExpired(now)
	return p.sums[runner]
}

// starts returns the number of requests of a service that the peers have started.
func (p *peerReports) starts(service string, now time.Time) uint64 {
	p.dropExpired(now)
	total := uint64(0)
	for _, report := range p.byPeer {
		for _, starts := range report.Starts {
			if starts.Service == service {
				total += starts.Count
			}
		}
	}
	return total
}

// dropExpired removes the reports that are older than the lifetime.
func (p *peerReports) dropExpired(now time.Time) {
	if len(p.byPeer) == 0 || !now.After(p.nextExpiry) {
		return
	}
	first := true
	for peer, report := range p.byPeer {
		expiry := report.received.Add(p.lifetime)
		if now.After(expiry) {
			p.remove(peer)
			p.generation++
			continue
		}
		if first || expiry.Before(p.nextExpiry) {
			p.nextExpiry, first = expiry, false
		}
	}
}
