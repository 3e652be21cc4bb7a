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
}

// Publish replaces the daemon's own facts. It reports whether there are urgent
// ones among them that Tell has to spread.
func (c *Core) Publish(own Digest, now time.Time) bool {
	c.offset = max(c.offset, own.ConfigurationOffset)
	urgent := own.Draining != c.draining
	c.draining = own.Draining
	c.reports.reporter(NewID(c.self.Daemon)).publish(own, now)
	for _, leaving := range own.Leaving {
		urgent = c.notices.announce(leaving, now) || urgent
	}
	for _, suspect := range own.Suspects {
		suspect.Reporter = c.self.Daemon
		urgent = c.notices.addSuspect(suspect, now) || urgent
	}
	return urgent
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
		message.Known = c.reports.known()
	}
	return message
}

// Reply merges the message that opened an exchange and returns the answer to
// it with what was new.
func (c *Core) Reply(request Message, stamp timeline.Stamp, now time.Time) (Message, Digest) {
	news := c.Receive(request, now)
	reply := c.message(stamp)
	if len(request.Known) > 0 {
		c.outgrow(request.Known, now)
		reply.Reports = c.reports.newer(request.Known)
	}
	if request.NoticesHash != reply.NoticesHash {
		reply.Leaving, reply.Suspects = c.notices.after(0)
	}
	return reply, news
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
		member.reached()
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

// SetOffset raises the offset of the daemon's configuration.
func (c *Core) SetOffset(offset uint64) { c.offset = max(c.offset, offset) }

// Offset returns the offset of the daemon's configuration.
func (c *Core) Offset() uint64 { return c.offset }

func (c *Core) message(stamp timeline.Stamp) Message {
	return Message{
		Sender:              c.self,
		Stamp:               stamp,
		ConfigurationOffset: c.offset,
		Draining:            c.draining,
		NoticesHash:         c.notices.hash(),
	}
}

// receiveReports merges reports and adds what was new to news. Facts about
// VMs that the roster does not list yet are kept but not handed out.
func (c *Core) receiveReports(received []Report, news *Digest, now time.Time) {
	self := NewID(c.self.Daemon)
	for _, report := range received {
		if report.Reporter == self {
			continue
		}
		loads, demands := c.reports.reporter(report.Reporter).merge(report, now)
		name := c.members.names[report.Reporter]
		if name == "" {
			continue
		}
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
