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
	c.adaptTo(&message, member)
	message.Leaving, message.Suspects = c.notices.after(member.ackedSequence)
	if member.inGroup {
		message.KnownVersions = c.reports.knownVersions(c.members.reporterIDs)
		message.Compact = member.sameGroupHash
		message.Reports = c.ownReport(member.ackedVersion)
	}
	return message
}

// MarkDelivered records that a peer has received a request, so that its contents
// are not sent again.
func (c *Core) MarkDelivered(peer string, request Message) {
	if member := c.members.byName[peer]; member != nil {
		member.ackedSequence = max(member.ackedSequence, request.Sequence)
		for _, report := range request.Reports {
			member.ackedVersion = max(member.ackedVersion, report.Version)
		}
	}
}

// ownReport returns the daemon's own facts that are newer than base. They are
// sent without being requested, since no other daemon can have them earlier.
func (c *Core) ownReport(base uint64) []Report {
	id := NewID(c.self.Daemon)
	own := c.reports.reporter(id)
	if own.version <= base {
		return nil
	}
	return []Report{own.since(id, base)}
}

// Reply merges the message that opened an exchange. It returns the reply and the
// facts that were new.
func (c *Core) Reply(request Message, stamp timeline.Stamp, now time.Time) (Message, Digest) {
	update := c.Receive(request, now)
	reply := c.message(stamp)
	if member := c.members.byName[request.Sender.Daemon]; member != nil {
		c.adaptTo(&reply, member)
	}
	if known := c.expandKnownVersions(request); len(known) > 0 {
		c.raiseOwnVersion(known, now)
		reply.Reports = append(reply.Reports, c.reports.newerThan(known)...)
	}
	if request.NoticesHash != reply.NoticesHash {
		reply.Leaving, reply.Suspects = c.missingNotices(request.Sender.Daemon)
	}
	return reply, update
}

// adaptTo adapts a message to its receiver. A receiver with the same group hash has
// the sender's zone and region in its VM list, so they are left out. A receiver
// outside the group gets summaries and the demand summed over the group.
func (c *Core) adaptTo(message *Message, receiver *member) {
	if receiver.sameGroupHash {
		message.Sender.Zone, message.Sender.Region = "", ""
	}
	if !receiver.inGroup {
		message.Summaries = c.summaries()
		message.Reports = c.groupReport(message.Stamp.Wall)
	}
}

// expandKnownVersions returns the known versions of a request and fills in the
// reporter IDs that a compact request leaves out. It returns none when the
// request is compact and the groups differ.
func (c *Core) expandKnownVersions(request Message) []KnownVersion {
	if !request.Compact {
		return request.KnownVersions
	}
	if request.GroupHash != c.members.groupHash || len(request.KnownVersions) != len(c.members.reporterIDs) {
		return nil
	}
	known := slices.Clone(request.KnownVersions)
	for i, id := range c.members.reporterIDs {
		known[i].Reporter = id
	}
	return known
}

// missingNotices returns the notices that a peer with a different hash lacks: those
// that it has not acknowledged. When it has acknowledged all of them and the hashes
// still differ, it has lost some, for example by a restart, and all are sent again.
func (c *Core) missingNotices(peer string) ([]Leaving, []Suspect) {
	var acked uint64
	if member := c.members.byName[peer]; member != nil {
		acked = member.ackedSequence
	}
	leaving, suspects := c.notices.after(acked)
	if len(leaving)+len(suspects) == 0 {
		return c.notices.after(0)
	}
	return leaving, suspects
}

// Receive merges a message and returns the facts that were new.
func (c *Core) Receive(message Message, now time.Time) Digest {
	sender := c.members.byName[message.Sender.Daemon]
	if sender != nil {
		message.Sender.Zone, message.Sender.Region = sender.vm.Zone, sender.vm.Region
	}
	update := Digest{
		Identity:            message.Sender,
		Stamp:               message.Stamp,
		ConfigurationOffset: message.ConfigurationOffset,
		Draining:            message.Draining,
		Summaries:           message.Summaries,
	}
	c.receiveReports(message.Reports, sender, &update, now)
	for _, leaving := range message.Leaving {
		if c.notices.addLeaving(leaving, now) {
			update.Leaving = append(update.Leaving, leaving)
		}
	}
	for _, suspect := range message.Suspects {
		if c.notices.addSuspect(suspect, now) {
			update.Suspects = append(update.Suspects, suspect)
		}
	}
	if sender != nil {
		sender.sameGroupHash = message.GroupHash == c.members.groupHash
		if message.NoticesHash == c.notices.hash() {
			sender.ackedSequence = c.notices.sequence
		}
	}
	return update
}

// receiveReports merges the reports of the group and of other groups and adds the
// new facts to update. Facts about backend servers and plans whose names are not
// known yet are stored but not added.
func (c *Core) receiveReports(received []Report, sender *member, update *Digest, now time.Time) {
	self := NewID(c.self.Daemon)
	for _, report := range received {
		if report.Reporter == self || !c.members.isReporter(report.Reporter) || c.isTooSoon(report, sender) {
			continue
		}
		if !c.reports.reporter(report.Reporter).merge(report, now) {
			continue
		}
		name := c.members.names[report.Reporter]
		for _, load := range report.Loads {
			if backend := c.members.names[load.Backend]; backend != "" {
				update.Loads = append(update.Loads, backendLoad(load, backend, name, report.Version))
			}
		}
		for _, demand := range report.Demands {
			if c.plans[demand.Plan] != "" {
				update.Demands = append(update.Demands, c.demand(demand, report.Reporter, report.Version))
			}
		}
	}
}

// raiseOwnVersion raises the version of the daemon's own report above the one that
// a peer holds from an earlier process on this VM. When the clock has been set back
// since, the peer would otherwise reject the new versions as old.
func (c *Core) raiseOwnVersion(known []KnownVersion, now time.Time) {
	self := NewID(c.self.Daemon)
	own := c.reports.reporter(self)
	for _, entry := range known {
		if entry.Reporter == self && entry.Version > own.version {
			own.raiseVersions(entry.Version+1, now)
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
