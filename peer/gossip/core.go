package gossip

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
)

const (
	// Interval is the time between the rounds of a daemon.
	Interval = 500 * time.Millisecond
	// NeighbourRounds is the number of rounds from one exchange with a
	// daemon of another zone to the next.
	NeighbourRounds = 4
	// RemoteRounds is the number of rounds from one exchange with a daemon
	// of another region to the next.
	RemoteRounds = 10
	// TellFanout is the number of peers to which a daemon sends an urgent
	// notice at once; each of them does the same when the notice is new to
	// it.
	TellFanout = 4
)

// Core is the state of a daemon in the exchange with its peers. It is used by
// one goroutine at a time.
type Core struct {
	self    Identity
	random  *rand.Rand
	members members
	reports reports
	notices notices
	// offset and draining are sent with every message.
	offset   uint64
	draining bool
	// round counts the calls of Round.
	round int
	// plans maps IDs to the names of the plans that the daemon has named.
	plans map[ID]string
	// published is when the daemon's own reports were last renewed.
	published time.Time
}

// New returns the state of a daemon that knows nothing yet.
func New(self Identity, random *rand.Rand) *Core {
	return &Core{
		self:    self,
		random:  random,
		members: newMembers(self),
		reports: make(reports),
		notices: newNotices(),
		plans:   make(map[ID]string),
		round:   random.IntN(NeighbourRounds * RemoteRounds),
	}
}

// SetVMs replaces the VMs that the roster lists.
func (c *Core) SetVMs(vms []hosting.VM) {
	c.members.set(vms)
	c.reports.retain(c.members.isReporter)
}

// Publish replaces the daemon's own facts. It reports whether there are urgent
// ones among them that Tell has to spread.
func (c *Core) Publish(own Digest, now time.Time) bool {
	c.offset = max(c.offset, own.ConfigurationOffset)
	urgent := own.Draining != c.draining
	c.draining = own.Draining
	if now.Sub(c.published) >= c.publishInterval() {
		c.published = now
		c.reports.reporter(NewID(c.self.Daemon)).publish(own, c.demandInterval(), now)
	}
	for _, demand := range own.Demands {
		c.plans[NewID(demand.Plan)] = demand.Plan
	}
	for _, leaving := range own.Leaving {
		urgent = c.notices.announce(leaving, now) || urgent
	}
	for _, suspect := range own.Suspects {
		suspect.Reporter = c.self.Daemon
		urgent = c.notices.addSuspect(suspect, now) || urgent
	}
	return urgent
}

// publishInterval returns the least time between two versions of the own
// reports. In a large group each version costs more and is less urgent.
func (c *Core) publishInterval() time.Duration {
	if c.members.isLarge() {
		return 2*Interval - Interval/4
	}
	return Interval - Interval/4
}

func (c *Core) demandInterval() time.Duration {
	if c.members.isLarge() {
		return largeDemandInterval
	}
	return demandInterval
}

// Round returns the peers to exchange with now.
func (c *Core) Round(now time.Time) []hosting.VM {
	c.reports.expire(now)
	c.notices.expire(now)
	c.round++
	groups := [][]*member{c.members.group}
	if c.round%NeighbourRounds == 0 || len(c.members.group) == 0 {
		groups = append(groups, c.members.neighbours)
	}
	if c.round%RemoteRounds == 0 {
		groups = append(groups, c.members.remotes)
	}
	var peers []hosting.VM
	for _, group := range groups {
		if chosen := pick(group, c.random, now); chosen != nil {
			peers = append(peers, chosen.vm)
		}
	}
	return peers
}

// Urgent returns the peers that an urgent notice goes to at once: some of the
// own group and one daemon of each other zone. Other regions, which send no
// requests here, learn it in the exchanges.
func (c *Core) Urgent(now time.Time) []hosting.VM {
	var peers []hosting.VM
	group := slices.Clone(c.members.group)
	for range TellFanout {
		chosen := pick(group, c.random, now)
		if chosen == nil {
			break
		}
		group = slices.DeleteFunc(group, func(m *member) bool { return m == chosen })
		peers = append(peers, chosen.vm)
	}
	for _, zone := range byZone(c.members.neighbours) {
		if chosen := pick(zone, c.random, now); chosen != nil {
			peers = append(peers, chosen.vm)
		}
	}
	return peers
}

// Failed notes that a call to a peer failed and reports whether it is the
// first failure in a row.
func (c *Core) Failed(peer string, now time.Time) bool {
	member := c.members.byName[peer]
	if member == nil {
		return false
	}
	member.failed(c.random, now)
	return member.failures == 1
}

// Nearest returns up to most daemons, near ones first.
func (c *Core) Nearest(most int) []hosting.VM { return c.members.nearest(most, c.random) }

// Reached notes that a message of a peer has arrived and reports whether calls
// to it had failed before.
func (c *Core) Reached(peer string) bool {
	member := c.members.byName[peer]
	return member != nil && member.reached()
}

// byZone splits the daemons of a region by zone, in the order of their names.
func byZone(daemons []*member) [][]*member {
	var zones [][]*member
	positions := make(map[string]int)
	for _, member := range daemons {
		position, known := positions[member.vm.Zone]
		if !known {
			position = len(zones)
			positions[member.vm.Zone] = position
			zones = append(zones, nil)
		}
		zones[position] = append(zones[position], member)
	}
	return zones
}
