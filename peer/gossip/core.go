package gossip

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/platform"
	"github.com/cranberrywalk/cranberrywalk/timeline"
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
	// published is when the daemon's own reports were last renewed.
	published time.Time
}

// Call is a message to be sent to a peer.
type Call struct {
	Peer    platform.VM
	Message Message
}

// New returns the state of a daemon that knows nothing yet.
func New(self Identity, random *rand.Rand) *Core {
	return &Core{
		self:    self,
		random:  random,
		members: newMembers(self),
		reports: make(reports),
		notices: newNotices(),
		round:   random.IntN(NeighbourRounds * RemoteRounds),
	}
}

// SetVMs replaces the VMs that the roster lists.
func (c *Core) SetVMs(vms []platform.VM) {
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
		c.reports.reporter(NewID(c.self.Daemon)).publish(own, now)
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
	if len(c.members.group) > WideGroupDaemons {
		return 2*Interval - Interval/4
	}
	return Interval - Interval/4
}

// Round returns the peers to exchange with now.
func (c *Core) Round(now time.Time) []platform.VM {
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
	var peers []platform.VM
	for _, group := range groups {
		if chosen := pick(group, c.random, now); chosen != nil {
			peers = append(peers, chosen.vm)
		}
	}
	return peers
}

// Request returns the message that opens an exchange with a peer.
func (c *Core) Request(peer string, stamp timeline.Stamp) Message {
	message := c.message(stamp)
	member := c.members.byName[peer]
	if member == nil {
		return message
	}
	message.Leaving, message.Suspects = c.notices.after(member.told)
	if slices.Contains(c.members.group, member) {
		message.Known = c.reports.known(c.members.groupIDs)
		message.Compact = member.sameGroup
		message.Reports = c.ownReport(member.given)
	}
	return message
}

// ownReport returns the daemon's own facts that are newer than base. Nobody
// else can tell them earlier, so that they are sent unasked.
func (c *Core) ownReport(base uint64) []Report {
	id := NewID(c.self.Daemon)
	own := c.reports.reporter(id)
	if own.version <= base {
		return nil
	}
	return []Report{own.since(id, base)}
}

// Delivered notes that a peer has received a request.
func (c *Core) Delivered(peer string, request Message) {
	if member := c.members.byName[peer]; member != nil {
		member.told = max(member.told, request.Sequence)
		for _, report := range request.Reports {
			member.given = max(member.given, report.Version)
		}
	}
}

// Reply merges the message that opened an exchange and returns the answer to
// it with what was new.
func (c *Core) Reply(request Message, stamp timeline.Stamp, now time.Time) (Message, Digest) {
	news := c.Receive(request, now)
	reply := c.message(stamp)
	if known := c.expand(request); len(known) > 0 {
		c.outgrow(known, now)
		reply.Reports = c.reports.newer(known)
	}
	if request.NoticesHash != reply.NoticesHash {
		reply.Leaving, reply.Suspects = c.untold(request.Sender.Daemon)
	}
	return reply, news
}

// expand returns the known versions of a request with their reporters. It
// returns none when the reporters were left out and the groups differ.
func (c *Core) expand(request Message) []Known {
	if !request.Compact {
		return request.Known
	}
	if request.GroupHash != c.members.groupHash || len(request.Known) != len(c.members.groupIDs) {
		return nil
	}
	known := slices.Clone(request.Known)
	for i, id := range c.members.groupIDs {
		known[i].Reporter = id
	}
	return known
}

// untold returns the notices that a peer with another hash lacks. When it
// should have all of them, it has lost some, and all are repeated.
func (c *Core) untold(peer string) ([]Leaving, []Suspect) {
	var told uint64
	if member := c.members.byName[peer]; member != nil {
		told = member.told
	}
	leaving, suspects := c.notices.after(told)
	if len(leaving)+len(suspects) == 0 {
		return c.notices.after(0)
	}
	return leaving, suspects
}

// Receive merges a message and returns what was new in it.
func (c *Core) Receive(message Message, now time.Time) Digest {
	news := Digest{
		Identity:            message.Sender,
		Stamp:               message.Stamp,
		ConfigurationOffset: message.ConfigurationOffset,
		Draining:            message.Draining,
	}
	c.receiveReports(message.Reports, &news, now)
	for _, leaving := range message.Leaving {
		if c.notices.addLeaving(leaving, now) {
			news.Leaving = append(news.Leaving, leaving)
		}
	}
	for _, suspect := range message.Suspects {
		if c.notices.addSuspect(suspect, now) {
			news.Suspects = append(news.Suspects, suspect)
		}
	}
	if member := c.members.byName[message.Sender.Daemon]; member != nil {
		member.sameGroup = message.GroupHash == c.members.groupHash
		if message.NoticesHash == c.notices.hash() {
			member.told = c.notices.sequence
		}
	}
	return news
}

// Urgent returns the peers that an urgent notice goes to at once: some of the
// own group and one daemon of each other zone and region.
func (c *Core) Urgent(now time.Time) []platform.VM {
	var peers []platform.VM
	group := slices.Clone(c.members.group)
	for range TellFanout {
		chosen := pick(group, c.random, now)
		if chosen == nil {
			break
		}
		group = slices.DeleteFunc(group, func(m *member) bool { return m == chosen })
		peers = append(peers, chosen.vm)
	}
	for _, zone := range byZone(c.members.neighbours, c.members.remotes) {
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
func (c *Core) Nearest(most int) []platform.VM { return c.members.nearest(most, c.random) }

// Reached notes that a message of a peer has arrived and reports whether calls
// to it had failed before.
func (c *Core) Reached(peer string) bool {
	member := c.members.byName[peer]
	return member != nil && member.reached()
}

func (c *Core) message(stamp timeline.Stamp) Message {
	return Message{
		Sender:              c.self,
		Stamp:               stamp,
		ConfigurationOffset: c.offset,
		Draining:            c.draining,
		GroupHash:           c.members.groupHash,
		NoticesHash:         c.notices.hash(),
		Sequence:            c.notices.sequence,
	}
}

// receiveReports merges the reports of the group and adds what was new to
// news. Facts about backend servers that the roster does not list yet are kept
// but not handed out.
func (c *Core) receiveReports(received []Report, news *Digest, now time.Time) {
	self := NewID(c.self.Daemon)
	for _, report := range received {
		if report.Reporter == self || !c.members.isReporter(report.Reporter) {
			continue
		}
		loads, demands := c.reports.reporter(report.Reporter).merge(report, now)
		name := c.members.names[report.Reporter]
		for _, load := range loads {
			if backend := c.members.names[load.Backend]; backend != "" {
				news.Loads = append(news.Loads, backendLoad(load, backend, name, report.Version))
			}
		}
		for _, demand := range demands {
			news.Demands = append(news.Demands, Demand{
				Plan: demand.Plan, Reporter: name, Version: report.Version, Rate: float64(demand.Rate),
			})
		}
	}
}

// outgrow raises the version of the own report above the one that a peer
// remembers from an earlier process on this VM.
func (c *Core) outgrow(known []Known, now time.Time) {
	self := NewID(c.self.Daemon)
	own := c.reports.reporter(self)
	for _, entry := range known {
		if entry.Reporter == self && entry.Version > own.version {
			own.renew(entry.Version+1, now)
		}
	}
}

func backendLoad(load Load, backend, reporter string, version uint64) BackendLoad {
	return BackendLoad{
		Backend:      backend,
		Reporter:     reporter,
		Version:      version,
		InFlight:     int(load.InFlight),
		Running:      int(load.Running),
		Queued:       int(load.Queued),
		QueuedTokens: int(load.QueuedTokens),
	}
}

// byZone splits daemons by region and zone, in the order of their names.
func byZone(groups ...[]*member) [][]*member {
	var zones [][]*member
	positions := make(map[[2]string]int)
	for _, member := range slices.Concat(groups...) {
		zone := [2]string{member.vm.Region, member.vm.Zone}
		position, known := positions[zone]
		if !known {
			position = len(zones)
			positions[zone] = position
			zones = append(zones, nil)
		}
		zones[position] = append(zones[position], member)
	}
	return zones
}
