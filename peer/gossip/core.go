package gossip

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
)

const (
	// Interval is the time between two gossip rounds of a daemon.
	Interval = 500 * time.Millisecond
	// CrossZoneRounds is the number of rounds between two exchanges with a
	// daemon outside the group but in the same region.
	CrossZoneRounds = 4
	// CrossRegionRounds is the number of rounds between two exchanges with a
	// daemon of another region.
	CrossRegionRounds = 10
	// PushFanout is the number of group members to which a daemon pushes an
	// urgent notice at once. Each receiver to which the notice is new pushes
	// it on in the same way.
	PushFanout = 4
)

// Core is the gossip state of one daemon. It is not safe for concurrent use.
type Core struct {
	self    Identity
	random  *rand.Rand
	members members
	reports reports
	notices notices
	// offset is the daemon's configuration offset. It and draining are sent
	// with every message.
	offset   uint64
	draining bool
	// round counts the calls of Round, from a random start so that the
	// cross-zone and cross-region rounds of the daemons do not coincide.
	round int
	// plans maps IDs to plan names, for the plans whose demand the daemon has
	// published.
	plans map[ID]string
	// published is when the daemon's own report was last updated.
	published time.Time
}

// New returns the state of a daemon that has not learned any facts yet.
func New(self Identity, random *rand.Rand) *Core {
	return &Core{
		self:    self,
		random:  random,
		members: newMembers(self),
		reports: make(reports),
		notices: newNotices(),
		plans:   make(map[ID]string),
		round:   random.IntN(CrossZoneRounds * CrossRegionRounds),
	}
}

// SetVMs replaces the list of VMs. Reports of daemons that are no longer
// listed are dropped.
func (c *Core) SetVMs(vms []hosting.VM) {
	c.members.set(vms)
	c.reports.retain(c.members.isReporter)
}

// Publish replaces the daemon's own facts. It reports whether any of them is
// urgent, so that it has to be pushed to the PushTargets.
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

// publishInterval returns the minimum time between two versions of the daemon's
// own report. It is a quarter of an interval short of one round (two rounds in a
// large group, where each version costs more and is less urgent).
func (c *Core) publishInterval() time.Duration {
	if c.members.isLarge() {
		return 2*Interval - Interval/4
	}
	return Interval - Interval/4
}

// demandInterval returns the minimum time between two published rates of a plan.
func (c *Core) demandInterval() time.Duration {
	if c.members.isLarge() {
		return largeDemandInterval
	}
	return demandInterval
}

// Round starts the next round: it expires old facts and returns the peers to
// exchange messages with.
func (c *Core) Round(now time.Time) []hosting.VM {
	c.reports.expire(now)
	c.notices.expire(now)
	c.round++
	groups := [][]*member{c.members.group}
	if c.round%CrossZoneRounds == 0 || len(c.members.group) == 0 {
		groups = append(groups, c.members.crossZone)
	}
	if c.round%CrossRegionRounds == 0 {
		groups = append(groups, c.members.crossRegion)
	}
	var peers []hosting.VM
	for _, group := range groups {
		if chosen := pick(group, c.random, now); chosen != nil {
			peers = append(peers, chosen.vm)
		}
	}
	return peers
}

// PushTargets returns the peers to which an urgent notice is pushed at once: up
// to PushFanout members of the daemon's own group and one daemon of each other
// zone of the region. Daemons of other regions, which send no requests to this
// region, receive the notice in the regular exchanges.
func (c *Core) PushTargets(now time.Time) []hosting.VM {
	var peers []hosting.VM
	group := slices.Clone(c.members.group)
	for range PushFanout {
		chosen := pick(group, c.random, now)
		if chosen == nil {
			break
		}
		group = slices.DeleteFunc(group, func(m *member) bool { return m == chosen })
		peers = append(peers, chosen.vm)
	}
	for _, zone := range byZone(c.members.crossZone) {
		if chosen := pick(zone, c.random, now); chosen != nil {
			peers = append(peers, chosen.vm)
		}
	}
	return peers
}

// MarkFailed records that a call to a peer failed and starts or extends its
// backoff. It reports whether this is the first failure in a row.
func (c *Core) MarkFailed(peer string, now time.Time) bool {
	member := c.members.byName[peer]
	if member == nil {
		return false
	}
	member.backOff(c.random, now)
	return member.failures == 1
}

// Nearest returns up to limit daemons: random ones of the group first, then of
// other zones, then of other regions.
func (c *Core) Nearest(limit int) []hosting.VM { return c.members.nearest(limit, c.random) }

// MarkReachable records that a message from a peer has arrived, which clears its
// backoff. It reports whether there was a failed call since the last message.
func (c *Core) MarkReachable(peer string) bool {
	member := c.members.byName[peer]
	return member != nil && member.resetBackoff()
}

// byZone groups the daemons by zone and keeps their order.
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
