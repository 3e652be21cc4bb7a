package gossip

import (
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/timeline"
)

// Request returns the message that opens an exchange with a peer.
func (c *Core) Request(peer string, stamp timeline.Stamp) Message {
	message := c.message(stamp)
	member := c.members.byName[peer]
	if member == nil {
		return message
	}
	c.address(&message, member)
	message.Leaving, message.Suspects = c.notices.after(member.told)
	if member.inGroup {
		message.Known = c.reports.known(c.members.groupIDs)
		message.Compact = member.sameGroup
		message.Reports = c.ownReport(member.given)
	}
	return message
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

// Reply merges the message that opened an exchange and returns the answer to
// it with what was new.
func (c *Core) Reply(request Message, stamp timeline.Stamp, now time.Time) (Message, Digest) {
	news := c.Receive(request, now)
	reply := c.message(stamp)
	if member := c.members.byName[request.Sender.Daemon]; member != nil {
		c.address(&reply, member)
	}
	if known := c.expand(request); len(known) > 0 {
		c.outgrow(known, now)
		reply.Reports = append(reply.Reports, c.reports.newer(known)...)
	}
	if request.NoticesHash != reply.NoticesHash {
		reply.Leaving, reply.Suspects = c.untold(request.Sender.Daemon)
	}
	return reply, news
}

// address adapts a message to its receiver: one that lists the same group
// knows the sender's zone, and one outside the group gets summaries.
func (c *Core) address(message *Message, receiver *member) {
	if receiver.sameGroup {
		message.Sender.Zone, message.Sender.Region = "", ""
	}
	if !receiver.inGroup {
		message.Summaries = c.summaries()
		message.Reports = c.groupReport(message.Stamp.Wall)
	}
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
	sender := c.members.byName[message.Sender.Daemon]
	if sender != nil {
		message.Sender.Zone, message.Sender.Region = sender.vm.Zone, sender.vm.Region
	}
	news := Digest{
		Identity:            message.Sender,
		Stamp:               message.Stamp,
		ConfigurationOffset: message.ConfigurationOffset,
		Draining:            message.Draining,
		Summaries:           message.Summaries,
	}
	c.receiveReports(message.Reports, sender, &news, now)
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
	if sender != nil {
		sender.sameGroup = message.GroupHash == c.members.groupHash
		if message.NoticesHash == c.notices.hash() {
			sender.told = c.notices.sequence
		}
	}
	return news
}

// receiveReports merges the reports of the group and of other groups and adds
// what was new to news. Facts about backend servers and plans that are not known yet
// are kept but not handed out.
func (c *Core) receiveReports(received []Report, sender *member, news *Digest, now time.Time) {
	self := NewID(c.self.Daemon)
	for _, report := range received {
		if report.Reporter == self || !c.members.isReporter(report.Reporter) || c.isTooEarly(report, sender) {
			continue
		}
		if !c.reports.reporter(report.Reporter).merge(report, now) {
			continue
		}
		name := c.members.names[report.Reporter]
		for _, load := range report.Loads {
			if backend := c.members.names[load.Backend]; backend != "" {
				news.Loads = append(news.Loads, backendLoad(load, backend, name, report.Version))
			}
		}
		for _, demand := range report.Demands {
			if c.plans[demand.Plan] != "" {
				news.Demands = append(news.Demands, c.demand(demand, report.Reporter, report.Version))
			}
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
		PrefillRate:  int(load.PrefillRate),
	}
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
