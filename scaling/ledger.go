package scaling

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// ServiceDemand is the demand of a service that has reached one process of a daemon since its start. Its
// fields are part of the wire format of digests.
type ServiceDemand struct {
	Service string
	Demand  Demand
}

// Report is what a daemon tells the others of the demand that has reached it.
type Report struct{ Services []ServiceDemand }

// maxServices bounds the services in a report, and maxZones the zones of daemons.
const (
	maxServices = 64
	maxZones    = 32
)

// Peer is one process of another daemon.
type Peer struct{ Name, Incarnation, Zone string }

// ZoneDemand is the demand that has reached the daemons of a zone.
type ZoneDemand struct {
	Zone string
	// Demand counts what has arrived since a daemon of the zone was first heard. It never decreases.
	Demand Demand
	// HeardAt is when the newest report of a daemon of the zone was made.
	HeardAt time.Time
}

// Ledger counts the demand that reaches this daemon, and collects that of the others by zone. It is safe for
// use by several goroutines.
type Ledger struct {
	zone string

	mutex sync.Mutex
	// own holds the demand of each service at this daemon; guarded by mutex, like the other fields.
	own      map[string]*Demand
	times    workTimes
	accounts quotaAccounts
	// peers holds the last report of each other daemon.
	peers map[string]peerDemand
	// zones holds the growth of the reports by zone and service.
	zones map[string]*zoneTotals
}

// peerDemand is the last report of a daemon.
type peerDemand struct {
	incarnation string
	madeAt      time.Time
	services    map[string]Demand
}

type zoneTotals struct {
	heardAt  time.Time
	services map[string]Demand
}

// NewLedger returns a ledger of a daemon in a zone.
func NewLedger(zone string) *Ledger {
	return &Ledger{
		zone: zone, own: make(map[string]*Demand), times: newWorkTimes(), accounts: newQuotaAccounts(),
		peers: make(map[string]peerDemand), zones: make(map[string]*zoneTotals),
	}
}

// Admitted counts a request that is carried.
func (l *Ledger) Admitted(request Request, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.accounts.take(request, true, now)
	l.arrive(request)
}

// Refused counts a request that was refused for lack of capacity before it was admitted. It returns false if
// the request does not count since it is beyond the quota of its customer.
func (l *Ledger) Refused(request Request, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.accounts.take(request, false, now) {
		return false
	}
	l.arrive(request)
	l.refuse(request)
	return true
}

// RefusedLater counts a request that was admitted, and then refused since no runner took it.
func (l *Ledger) RefusedLater(request Request) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.refuse(request)
}

// Completed records for how long a runner that was not overloaded was occupied with a request.
func (l *Ledger) Completed(request Request, taken time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.times.add(request, taken)
}

// arrive counts a request. The mutex must be held.
func (l *Ledger) arrive(request Request) {
	d := l.demand(request.Service)
	if d == nil {
		return
	}
	d.Arrived++
	if work, known := l.times.expected(request); known {
		d.Known++
		d.ArrivedWork += work
	}
}

// refuse counts a refusal. The mutex must be held.
func (l *Ledger) refuse(request Request) {
	d := l.demand(request.Service)
	if d == nil {
		return
	}
	d.Refused++
	if work, known := l.times.expected(request); known {
		d.RefusedWork += work
	}
}

// demand returns the counts of a service, or nil beyond the bound on services. The mutex must be held.
func (l *Ledger) demand(service string) *Demand {
	d := l.own[service]
	if d == nil && len(l.own) < maxServices {
		d = &Demand{}
		l.own[service] = d
	}
	return d
}

// Report returns this daemon's demand for the others.
func (l *Ledger) Report() Report {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var report Report
	for _, service := range slices.Sorted(maps.Keys(l.own)) {
		report.Services = append(report.Services, ServiceDemand{Service: service, Demand: *l.own[service]})
	}
	return report
}

// peerLifetime is how long the report of a daemon that is not heard is kept, for its next one.
const peerLifetime = time.Minute

// Merge adds the growth since the last report of the same process. Reports that were made before the last one of
// the daemon are left out, also those of an earlier process, which would hide the growth of the present one.
func (l *Ledger) Merge(peer Peer, report Report, madeAt time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	zone := l.zoneTotals(peer.Zone)
	if zone == nil {
		return
	}
	before, found := l.peers[peer.Name]
	if found && !madeAt.After(before.madeAt) {
		return
	}
	if madeAt.After(zone.heardAt) {
		zone.heardAt = madeAt
	}
	isSame := found && before.incarnation == peer.Incarnation
	after := peerDemand{incarnation: peer.Incarnation, madeAt: madeAt, services: make(map[string]Demand, len(report.Services))}
	for _, s := range report.Services[:min(len(report.Services), maxServices)] {
		after.services[s.Service] = s.Demand
		if isSame {
			zone.add(s, before.services[s.Service], madeAt.Sub(before.madeAt))
		}
	}
	if !found {
		l.forgetSilent(madeAt)
	}
	l.peers[peer.Name] = after
}

// add adds the growth of a service. Counts that have fallen, or have grown by more than a daemon can serve,
// add nothing.
func (z *zoneTotals) add(s ServiceDemand, before Demand, passed time.Duration) {
	grown, isGrowth := s.Demand.since(before)
	if !isGrowth || !grown.isPlausible(passed) {
		return
	}
	if _, found := z.services[s.Service]; !found && len(z.services) >= maxServices {
		return
	}
	z.services[s.Service] = z.services[s.Service].plus(grown)
}

// forgetSilent drops the reports of daemons that have not been heard for long. The mutex must be held.
func (l *Ledger) forgetSilent(now time.Time) {
	for name, peer := range l.peers {
		if now.Sub(peer.madeAt) > peerLifetime {
			delete(l.peers, name)
		}
	}
}

// zoneTotals returns the totals of a zone, or nil beyond the bound on zones. The mutex must be held.
func (l *Ledger) zoneTotals(name string) *zoneTotals {
	z := l.zones[name]
	if z == nil && len(l.zones) < maxZones {
		z = &zoneTotals{services: make(map[string]Demand)}
		l.zones[name] = z
	}
	return z
}

// Zones returns the demand of a service by zone of the daemons that it has reached, sorted by zone.
func (l *Ledger) Zones(service string, now time.Time) []ZoneDemand {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if z := l.zoneTotals(l.zone); z != nil {
		z.heardAt = now
	}
	var zones []ZoneDemand
	for _, name := range slices.Sorted(maps.Keys(l.zones)) {
		z := l.zones[name]
		zone := ZoneDemand{Zone: name, Demand: z.services[service], HeardAt: z.heardAt}
		if own := l.own[service]; own != nil && name == l.zone {
			zone.Demand = zone.Demand.plus(*own)
		}
		zones = append(zones, zone)
	}
	return zones
}

// Total returns the sum over zones.
func Total(zones []ZoneDemand) Demand {
	var total Demand
	for _, zone := range zones {
		total = total.plus(zone.Demand)
	}
	return total
}
