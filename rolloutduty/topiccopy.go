package rolloutduty

import (
	"bytes"
	"context"
	"time"

	"github.com/cranberrywalk/cranberrywalk/latest"
)

// topicCopy is what a topic of the store holds, as far as this process knows.
type topicCopy struct {
	name string
	// isKnown is false if the topic has to be read before the next write: this process has just
	// taken the duties, or the result of a write is not certain.
	isKnown bool
	// listedAt is when the topic was last read.
	listedAt time.Time
	end      latest.Position
	values   map[string][]byte
}

func newTopicCopy(name string) *topicCopy {
	return &topicCopy{name: name, values: make(map[string][]byte)}
}

// refresh reads the topics that are not known. It returns false if that failed.
func (d *Duty) refresh(ctx context.Context) bool {
	if !d.states.isKnown {
		if !d.list(ctx, d.states) {
			return false
		}
		d.applyStates()
	}
	if !d.statuses.isKnown && !d.list(ctx, d.statuses) {
		return false
	}
	return true
}

// list reads a topic.
func (d *Duty) list(ctx context.Context, topic *topicCopy) bool {
	ctx, cancel := context.WithTimeout(ctx, d.options.Timeout)
	defer cancel()
	listing, err := d.Store.Newest(ctx, topic.name)
	if err != nil || listing.End.Epoch < topic.end.Epoch {
		d.Count("Rollouts.ReadsFailed", 1)
		return false
	}
	topic.isKnown, topic.end = true, listing.End
	topic.values = make(map[string][]byte, len(listing.Records))
	for _, record := range listing.Records {
		topic.values[record.Key] = record.Value
	}
	topic.listedAt = d.Clock.Now()
	return true
}

// put writes a record if the topic ends where this process has read it to, so that nothing newer is
// replaced. A former holder's write that the store executes late fails once this one has written.
func (d *Duty) put(ctx context.Context, topic *topicCopy, record latest.Record) bool {
	if !topic.isKnown || !d.isStillHolder() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, d.options.Timeout)
	defer cancel()
	epoch, err := d.Store.PutAt(ctx, topic.name, topic.end.Offset, record)
	if err != nil || epoch != topic.end.Epoch {
		// The record may have been written, or another one. Reading the topic shows which.
		topic.isKnown = false
		d.Count("Rollouts.WritesFailed", 1)
		return false
	}
	topic.end = topic.end.WithOffset(topic.end.Offset + 1)
	topic.values[record.Key] = record.Value
	return true
}

// isStillHolder reports whether the process holds the lease under the fencing token of this step.
func (d *Duty) isStillHolder() bool {
	fence, holding := d.Lease.Holding()
	return holding && fence == d.fence
}

// holds reports whether the topic is known to hold the value of a record.
func (t *topicCopy) holds(record latest.Record) bool {
	value, found := t.values[record.Key]
	return t.isKnown && found && bytes.Equal(value, record.Value)
}

// sinceWritten returns the time since a synchronized clock showed a time, but not less than zero.
func (d *Duty) sinceWritten(micros int64, now time.Time) time.Duration {
	return max(d.SyncedClock.At(now).Sub(time.UnixMicro(micros)), 0)
}
