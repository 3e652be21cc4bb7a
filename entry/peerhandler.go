package entry

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/feed"
	"github.com/cranberrywalk/cranberrywalk/latest"
	"github.com/cranberrywalk/cranberrywalk/membership"
	"github.com/cranberrywalk/cranberrywalk/platform"
	"github.com/cranberrywalk/cranberrywalk/scaling"
)

// peerHandler handles the gossip with other daemons. It implements
// membership.Handler.
type peerHandler struct{ *Entry }

// sharedUsageWindows is the number of usage windows whose counts are sent to other
// daemons.
const sharedUsageWindows = 2

// Digest implements membership.Handler.
func (h peerHandler) Digest(toNew bool) membership.Digest {
	now := h.Clock.Now()
	from := h.usage.Window(h.syncedClock.At(now)) - sharedUsageWindows
	// Counts that are read after this are complete if it is true.
	countsAreFinal := h.countsAreFinal.Load()
	digest := membership.Digest{
		Stopping: h.stopping.Load(),
		Load:     h.balancer.Report(toNew, now),
		Usage:    h.quotas.OwnUsage(toNew, now),
		Counts:   h.usage.OwnCounts(from),
		Reports:  h.duties.ReportsToShare(toNew),

		ConfigurationVersion: h.configurationVersion(),
		CountsAreFinal:       countsAreFinal,
		Segments:             h.segments.Report(toNew, now),
		Contents:             h.contents.Report(toNew, now),
		Versions:             h.versions.Report(),
		Runs:                 h.runs.Report(toNew, now),
		Rollouts:             h.rollouts.digest(now),
		Demand:               h.ledger.Report(),
	}
	if toNew {
		digest.PeerCounts = h.usage.PeerCounts(from)
	}
	for topic, f := range h.feedsByTopic {
		end := membership.TopicEnd{Topic: topic, End: f.End(), Age: now.Sub(f.LastConfirmed())}
		digest.Ends = append(digest.Ends, end)
	}
	digest.Ends = append(digest.Ends, membership.TopicEnd{Topic: dutiesTopic, End: h.duties.End()})
	return digest
}

// ApplyDigest implements membership.Handler.
func (h peerHandler) ApplyDigest(digest membership.Digest, delay time.Duration) {
	now := h.Clock.Now()
	sender := digest.Sender
	h.syncedClock.AddSample(sender.Name, time.UnixMicro(digest.TimeOfDay).Add(delay), now)
	peer := balance.Peer{Daemon: daemonOf(sender), Stopping: digest.Stopping}
	for _, runner := range h.balancer.SetPeer(peer, digest.Load, now.Add(-delay)) {
		h.gateway.MoveStreams(runner)
	}
	h.quotas.Merge(sender.Name, sender.Incarnation, digest.Usage, now.Add(-delay))
	h.applyCounts(digest, now.Add(-delay))
	h.segments.Merge(digest.Segments, now.Add(-delay), now)
	h.contents.Merge(digest.Contents, now.Add(-delay), now)
	h.runs.Merge(digest.Runs, now.Add(-delay), now)
	h.ledger.Merge(scaling.Peer{Name: sender.Name, Incarnation: sender.Incarnation, Zone: sender.Zone}, digest.Demand, now.Add(-delay))
	h.duties.ObservePeerProcess(sender.Name, instanceID(sender))
	h.duties.ObserveReports(digest.Reports)
	h.versions.ObservePeer(sender.Name, digest.Versions)
	h.rollouts.applyDigest(sender, digest.Rollouts, now.Add(-delay), now)
	for _, end := range digest.Ends {
		switch end.Topic {
		case dutiesTopic:
			h.duties.ObservePeerEnd(end.End)
		case platform.ConfigurationTopic:
			h.noticeConfiguration(sender, digest.ConfigurationVersion, end.End)
		}
		if f := h.feedsByTopic[end.Topic]; f != nil {
			f.HandlePeerEnd(end.End)
		}
	}
}

// applyCounts applies the usage counts of a digest that was made at a reading of this
// daemon's clock.
func (h peerHandler) applyCounts(digest membership.Digest, made time.Time) {
	process := instanceID(digest.Sender)
	h.usage.Merge(process, digest.Counts)
	h.usage.Heard(process, h.syncedClock.At(made))
	if digest.CountsAreFinal {
		h.usage.Ended(process)
	}
	for _, peer := range digest.PeerCounts {
		if peer.Process != instanceID(h.self) {
			h.usage.Merge(peer.Process, peer.Counts)
		}
	}
}

// ApplyUpdate implements membership.Handler.
func (h peerHandler) ApplyUpdate(update feed.Update) {
	if f := h.feedsByTopic[update.Topic]; f != nil {
		f.ApplyUpdate(update)
	}
}

// Records implements membership.Handler.
func (h peerHandler) Records(request membership.RecordsRequest) membership.RecordsReply {
	f := h.feedsByTopic[request.Topic]
	if f == nil {
		return membership.RecordsReply{}
	}
	return membership.RecordsReply{Extract: f.Extract(request.From), Age: h.Clock.Since(f.LastConfirmed())}
}

// Configuration implements membership.Handler.
func (h peerHandler) Configuration() latest.Record {
	record := h.configurationRecord.Load()
	if record == nil {
		return latest.Record{}
	}
	return *record
}

// instanceID identifies one start of a daemon.
func instanceID(member membership.Member) string { return member.Name + "/" + member.Incarnation }
