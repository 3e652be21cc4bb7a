package runnerlimit

import (
	"cmp"
	"slices"
	"time"
)

// Options are the settings of Daemons.
type Options struct {
	// SilentAfter is the age of a daemon's last report above which it counts as silent. It is
	// longer for one that reports rarely: SilentReports times the mean time between two
	// reports.
	SilentAfter   time.Duration
	SilentReports float64
	// ForgetAfter is the age of a daemon's last report above which it is assumed to have
	// stopped.
	ForgetAfter time.Duration
	// DemandWindow is how long after its last request for a service a daemon takes part in the
	// limits of the service's runners.
	DemandWindow time.Duration
	// AnnounceTime is how long before it takes part the daemon must have had requests for the
	// service, so that the others know. It is longer where reports are rare:
	// AnnounceReports times the mean time between two reports.
	AnnounceTime    time.Duration
	AnnounceReports float64
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{
		SilentAfter: 1200 * time.Millisecond, SilentReports: 2, ForgetAfter: 30 * time.Second,
		DemandWindow: 10 * time.Second, AnnounceTime: time.Second, AnnounceReports: 2.5,
	}
}

// Demand is the number of requests for a service that a daemon has had since its start,
// whether it could send them to a runner or not.
type Demand struct {
	Service string
	Count   uint64
}

// Report is what a daemon tells about itself.
type Report struct {
	Daemon Daemon
	// Stopping is true once the daemon takes no part any more.
	Stopping bool
	Demands  []Demand
}

// Daemons knows which daemons share the limits of runners.
//
// Each daemon computes the same shares from what the daemons report: only those with requests
// for the runner's service take part, and of them at most a number that grows with the limit,
// those of the runner's zone first. The shares of the daemons that hear each other add up to
// their part of all daemons. Groups that don't hear each other together so keep the limit.
type Daemons struct {
	options Options
	self    Daemon
	// stopping is true once this daemon takes no part any more.
	stopping bool
	demands  map[string]demand
	peers    map[string]*peer
}

// demand is the demand for one service at one daemon.
type demand struct {
	count uint64
	// since is when the first request came of those that followed each other within
	// DemandWindow, and last when the last one did, as far as is known.
	since, last time.Time
}

// record records that the count has risen.
func (d demand) record(count uint64, window time.Duration, now time.Time) demand {
	if now.Sub(d.last) > window {
		d.since = now
	}
	return demand{count: count, since: d.since, last: now}
}

// peer is what another daemon has told.
type peer struct {
	daemon Daemon
	// lastReport is when the daemon made its newest report.
	lastReport time.Time
	// interval is a moving average of the time between two reports.
	interval time.Duration
	demands  map[string]demand
}

// NewDaemons returns a Daemons that knows only the daemon itself.
func NewDaemons(options Options, self Daemon) *Daemons {
	return &Daemons{options: options, self: self, demands: make(map[string]demand), peers: make(map[string]*peer)}
}

// Self returns the daemon itself.
func (d *Daemons) Self() Daemon { return d.self }

// Stop ends the part of this daemon in all limits.
func (d *Daemons) Stop() { d.stopping = true }

// RecordDemand records a request for a service at this daemon.
func (d *Daemons) RecordDemand(service string, now time.Time) {
	own := d.demands[service]
	d.demands[service] = own.record(own.count+1, d.options.DemandWindow, now)
}

// Demands returns the demands at this daemon, for its report.
func (d *Daemons) Demands() []Demand {
	demands := make([]Demand, 0, len(d.demands))
	for service, own := range d.demands {
		demands = append(demands, Demand{Service: service, Count: own.count})
	}
	slices.SortFunc(demands, func(x, y Demand) int { return cmp.Compare(x.Service, y.Service) })
	return demands
}

// intervalWeight is the weight of the newest value in the mean time between reports.
const intervalWeight = 0.3

// Hear applies the report that another daemon made at a time of this daemon's clock.
func (d *Daemons) Hear(report Report, madeAt time.Time) {
	name := report.Daemon.Name
	if report.Stopping {
		delete(d.peers, name)
		return
	}
	p := d.peers[name]
	if p == nil || p.daemon != report.Daemon {
		p = &peer{daemon: report.Daemon, lastReport: madeAt, demands: make(map[string]demand)}
		d.peers[name] = p
	}
	if passed := madeAt.Sub(p.lastReport); passed > 0 {
		if p.interval == 0 {
			p.interval = passed
		}
		p.interval += time.Duration(intervalWeight * float64(passed-p.interval))
		p.lastReport = madeAt
	}
	for _, told := range report.Demands {
		if known := p.demands[told.Service]; told.Count != known.count {
			p.demands[told.Service] = known.record(told.Count, d.options.DemandWindow, madeAt)
		}
	}
}

// isOverdue reports whether no report of a daemon has come for too long.
func (d *Daemons) isOverdue(p *peer, now time.Time) bool {
	silentAfter := max(d.options.SilentAfter, time.Duration(d.options.SilentReports*float64(p.interval)))
	return now.Sub(p.lastReport) > silentAfter
}

// forget forgets the daemons that are assumed to have stopped.
func (d *Daemons) forget(now time.Time) {
	for name, p := range d.peers {
		if now.Sub(p.lastReport) > d.options.ForgetAfter {
			delete(d.peers, name)
		}
	}
}

// participants are the daemons that take part in the limits of a service's runners.
type participants struct {
	// peers are those of them that are other daemons, and hasSelf is true if this one is
	// another. size is their number.
	peers   []*peer
	hasSelf bool
	size    int
	// heard is the part of all daemons that is heard, this one included.
	heard float64
}

// participants returns the daemons that take part in the limits of a service's runners: those
// that are heard and have requests for it, or all that are heard if none has.
func (d *Daemons) participants(service string, now time.Time) participants {
	var heard, demanding []*peer
	for _, p := range d.peers {
		if d.isOverdue(p, now) {
			continue
		}
		heard = append(heard, p)
		if d.isRecent(p.demands[service], now) {
			demanding = append(demanding, p)
		}
	}
	own := d.demands[service]
	selfHasDemand := !d.stopping && d.isRecent(own, now) && now.Sub(own.since) >= d.announceTime()
	group := participants{peers: demanding, hasSelf: selfHasDemand}
	if len(demanding) == 0 && !selfHasDemand {
		group.peers, group.hasSelf = heard, !d.stopping
	}
	group.size = len(group.peers)
	if group.hasSelf {
		group.size++
	}
	group.heard = float64(len(heard)+1) / float64(len(d.peers)+1)
	return group
}

func (d *Daemons) isRecent(own demand, now time.Time) bool {
	return own.count > 0 && now.Sub(own.last) <= d.options.DemandWindow
}

// announceTime returns how long the other daemons need to learn of the demand here.
func (d *Daemons) announceTime() time.Duration {
	if len(d.peers) == 0 {
		return 0
	}
	longest := time.Duration(0)
	for _, p := range d.peers {
		longest = max(longest, p.interval)
	}
	return max(d.options.AnnounceTime, time.Duration(d.options.AnnounceReports*float64(longest)))
}
