package configuration

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/plan"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

const (
	// SnapshotRecords is the number of records after which a snapshot is
	// written. It is far below the number that the log service retains.
	SnapshotRecords = 200
	// SnapshotInterval is the time after which a snapshot is written even if
	// nothing has changed, since the last snapshot itself expires. It is far
	// below the retention time of the log service.
	SnapshotInterval = time.Hour
	// snapshotSpread is the maximum random delay before a daemon writes a
	// snapshot, so that usually only one daemon writes it.
	snapshotSpread = 20 * time.Second
	// snapshotPoll is the time between two checks of the follower.
	snapshotPoll = time.Second
)

// Snapshotter writes the state to the configuration stream before retention removes the
// records that it was built from. Any daemon may do this at any time: a duplicate, old
// or late snapshot has no effect, since applying compares offsets. Therefore no lease is
// needed.
type Snapshotter struct {
	telemetry.Common
	follower *Follower
	appender message.Publisher
	random   *rand.Rand
	// done is closed when Run has returned.
	done chan struct{}
}

// NewSnapshotter returns a snapshotter for the follower's stream.
func NewSnapshotter(common telemetry.Common, follower *Follower, appender message.Publisher, random *rand.Rand) *Snapshotter {
	return &Snapshotter{Common: common, follower: follower, appender: appender, random: random, done: make(chan struct{})}
}

// Done returns a channel that is closed when Run has returned.
func (s *Snapshotter) Done() <-chan struct{} { return s.done }

// Run writes snapshots until ctx ends.
func (s *Snapshotter) Run(ctx context.Context) {
	defer close(s.done)
	for clock.Sleep(ctx, s.Clock, snapshotPoll) == nil {
		if !s.follower.needsSnapshot(s.Clock.Now()) {
			continue
		}
		if clock.Sleep(ctx, s.Clock, s.delay()) != nil {
			return
		}
		if s.follower.needsSnapshot(s.Clock.Now()) {
			s.write()
		}
	}
}

func (s *Snapshotter) delay() time.Duration {
	return time.Duration(s.random.Int64N(int64(snapshotSpread)))
}

func (s *Snapshotter) write() {
	snapshot, _ := s.follower.Snapshot()
	if err := s.appender.Publish(s.follower.stream, message.NewMessage(watermill.NewUUID(), snapshot)); err != nil {
		s.Count("Configuration.SnapshotsFailed", 1)
		return
	}
	s.Count(CounterSnapshots, 1)
}

// needsSnapshot reports whether SnapshotRecords or SnapshotInterval is reached since the
// last snapshot, and the follower has caught up and can write one.
func (f *Follower) needsSnapshot(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.synced || f.follower.HasGap() || !f.follower.State().IsComplete() {
		return false
	}
	if f.lastSnapshot.IsZero() {
		f.lastSnapshot = now
	}
	return f.recordsSinceSnapshot >= SnapshotRecords || now.Sub(f.lastSnapshot) >= SnapshotInterval
}

// isSnapshot reports whether a record holds a snapshot that can be restored.
func isSnapshot(payload []byte) bool {
	_, err := plan.Restore(payload)
	return err == nil
}
