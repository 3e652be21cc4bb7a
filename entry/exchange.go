package entry

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/feed"
	"github.com/cranberrywalk/cranberrywalk/membership"
)

// exchange is the daemon's side of the talk with other daemons. It implements
// membership.Handler.
type exchange struct{ *Entry }

// toldWindows is the number of windows whose counts are told to other daemons.
const toldWindows = 2

// toldCrashes is how long a crash is told to other daemons.
const toldCrashes = 5 * time.Second

// Digest implements membership.Handler.
func (x exchange) Digest(toNew bool) membership.Digest {
	now := x.Clock.Now()
	from := x.usage.Window(x.trueTime.At(now)) - toldWindows
	digest := membership.Digest{
		Stopping: x.stopping.Load(),
		Loads:    x.balancer.Loads(),
		Uses:     x.quotas.Uses(),
		Counts:   x.usage.Own(from),
		Crashes:  x.suspects.Recent(toldCrashes, now),
	}
	if toNew {
		digest.Heard = x.usage.Heard(from)
		digest.Crashes = x.suspects.Entries(now)
	}
	for topic, f := range x.byTopic {
		end := membership.TopicEnd{Topic: topic, End: f.End(), Age: now.Sub(f.Good())}
		digest.Ends = append(digest.Ends, end)
	}
	digest.Ends = append(digest.Ends, membership.TopicEnd{Topic: dutiesTopic, End: x.duties.End()})
	return digest
}

// Hear implements membership.Handler.
func (x exchange) Hear(digest membership.Digest, delay time.Duration) {
	now := x.Clock.Now()
	sender := digest.Sender
	x.trueTime.Compare(sender.Name, time.UnixMicro(digest.TimeOfDay).Add(delay), now)
	x.balancer.SetPeer(sender.Name, digest.Loads, now.Add(-delay))
	x.quotas.Hear(sender.Name, sender.Incarnation, digest.Uses, now.Add(-delay))
	x.usage.Hear(process(sender), digest.Counts)
	for _, heard := range digest.Heard {
		if heard.Process != process(x.self) {
			x.usage.Hear(heard.Process, heard.Counts)
		}
	}
	x.suspects.Merge(digest.Crashes, now)
	x.duties.Started(sender.Name, process(sender))
	for _, end := range digest.Ends {
		if end.Topic == dutiesTopic {
			x.duties.Heard(end.End)
		}
		if f := x.byTopic[end.Topic]; f != nil {
			f.Heard(end.End)
		}
	}
}

// Told implements membership.Handler.
func (x exchange) Told(news feed.News) {
	if f := x.byTopic[news.Topic]; f != nil {
		f.Told(news)
	}
}

// Records implements membership.Handler.
func (x exchange) Records(request membership.RecordsRequest) membership.RecordsReply {
	f := x.byTopic[request.Topic]
	if f == nil {
		return membership.RecordsReply{}
	}
	return membership.RecordsReply{Extract: f.Extract(request.From), Age: x.Clock.Since(f.Good())}
}

// process names one start of a daemon.
func process(member membership.Member) string { return member.Name + "/" + member.Incarnation }
