package configuration

import (
	"context"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/logstream"
	"github.com/cranberrywalk/cranberrywalk/plan"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// The counters of this package.
const (
	CounterAccepted  = "Configuration.Accepted"
	CounterRefused   = "Configuration.Refused"
	CounterFromPeers = "Configuration.FromPeers"
	CounterSnapshots = "Configuration.Snapshots"
)

// subscribeRetry is the delay before a subscription that ended is renewed.
const subscribeRetry = 100 * time.Millisecond

// Follower applies the configuration stream and keeps the state in force. The offset of
// the state never decreases.
type Follower struct {
	telemetry.Common
	log    hosting.Log
	stream string
	wait   time.Duration
	// done is closed when Run has returned.
	done chan struct{}

	mu       sync.Mutex
	follower plan.Follower
	// synced is true once the state has caught up with the log, or with the
	// peers when the log can't be read. It never goes back to false.
	synced bool
	// recordsSinceSnapshot counts the records after the last snapshot in the log.
	recordsSinceSnapshot int
	// lastSnapshot is the local time at which the last snapshot in the log was
	// read, or at which needsSnapshot first ran when none has been read.
	lastSnapshot time.Time
}

// NewFollower returns a follower that starts at the beginning of the stream.
// wait is the long-poll time of a read.
func NewFollower(common telemetry.Common, log hosting.Log, stream string, wait time.Duration) *Follower {
	return &Follower{Common: common, log: log, stream: stream, wait: wait, done: make(chan struct{})}
}

// State returns the state in force. It returns false until the follower has caught up
// and both lists have been published.
func (f *Follower) State() (plan.State, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.follower.State()
	return state, f.synced && state.IsComplete()
}

// Offset returns the offset after the last applied record.
func (f *Follower) Offset() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.follower.State().Offset()
}

// Snapshot returns the encoded state for a peer, and its offset.
func (f *Follower) Snapshot() ([]byte, uint64) {
	f.mu.Lock()
	state := f.follower.State()
	f.mu.Unlock()
	return state.Snapshot(), state.Offset()
}

// Adopt replaces the state by the one in a peer's snapshot if that is newer. It returns a
// *plan.SnapshotError when the snapshot is invalid.
func (f *Follower) Adopt(snapshot []byte) error {
	state, err := plan.Restore(snapshot)
	if err != nil {
		return err
	}
	f.mu.Lock()
	before := f.follower.State().Offset()
	f.follower = f.follower.WithState(state)
	after := f.follower.State().Offset()
	f.mu.Unlock()
	if after > before {
		f.Count(CounterFromPeers, 1)
		f.reportInForce(after, "from a peer")
	}
	return nil
}

// MarkSyncedWithPeers marks the follower as caught up if both lists have been
// published. It must be called only when the log can't be read and the state is at
// least as new as the state of every reachable peer.
func (f *Follower) MarkSyncedWithPeers() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.synced = f.synced || f.follower.State().IsComplete()
}

// Done returns a channel that is closed when Run has returned.
func (f *Follower) Done() <-chan struct{} { return f.done }

// Run follows the stream until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	defer close(f.done)
	subscriber := logstream.NewSubscriber(f.Common, f.log, f.subscriptionOptions())
	// Close only waits for the subscriptions, which end with ctx.
	defer func() { _ = subscriber.Close() }()
	for ctx.Err() == nil {
		f.consume(ctx, subscriber)
		// The loop condition checks ctx.
		_ = clock.Sleep(ctx, f.Clock, subscribeRetry)
	}
}

func (f *Follower) subscriptionOptions() logstream.Options {
	options := logstream.DefaultOptions()
	options.Wait = f.wait
	options.StartOffset = func(string) uint64 { return f.nextOffset() }
	options.OnTrimmed = func(_ context.Context, trimmed *hosting.TrimmedError) (uint64, error) {
		return f.handleTrimmed(trimmed.First), nil
	}
	options.OnCaughtUp = func(_ string, next uint64) { f.handleCaughtUp(next) }
	return options
}

// consume applies the messages of one subscription until the follower needs another
// record than the next one of the subscription.
func (f *Follower) consume(ctx context.Context, subscriber message.Subscriber) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	messages, err := subscriber.Subscribe(ctx, f.stream)
	if err != nil {
		return
	}
	for m := range messages {
		next, err := f.apply(m)
		m.Ack()
		if err != nil || next != f.nextOffset() {
			return
		}
	}
}

// apply applies one message and returns the offset after it.
func (f *Follower) apply(m *message.Message) (uint64, error) {
	offset, err := logstream.Offset(m)
	if err != nil {
		return 0, err
	}
	f.mu.Lock()
	follower, verdict := f.follower.Apply(hosting.Record{Offset: offset, Payload: m.Payload})
	f.follower = follower
	f.recordsSinceSnapshot++
	if isSnapshot(m.Payload) {
		f.recordsSinceSnapshot = 0
		f.lastSnapshot = f.Clock.Now()
	}
	current := follower.State().Offset()
	f.mu.Unlock()
	f.reportVerdict(verdict, current)
	return offset + 1, nil
}

func (f *Follower) reportVerdict(verdict plan.Verdict, offset uint64) {
	if verdict.Accepted {
		f.Count(CounterAccepted, 1)
		f.reportInForce(offset, verdict.Identity)
		return
	}
	f.Count(CounterRefused, 1)
}

// reportInForce logs and records that a new state is in force.
func (f *Follower) reportInForce(offset uint64, detail string) {
	f.Log.Info("New configuration is in force", "Offset", offset, "Change", detail)
	f.Events.Record(telemetry.Event{Kind: "ConfigurationInForce", Detail: detail})
}

func (f *Follower) nextOffset() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.follower.NextOffset()
}

func (f *Follower) handleTrimmed(first uint64) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.follower = f.follower.WithTrimmed(first)
	return f.follower.NextOffset()
}

// handleCaughtUp handles the end of the log: every record below next has been read. A
// follower with a gap and no snapshot has not caught up.
func (f *Follower) handleCaughtUp(next uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.follower.HasGap() || f.follower.State().Offset() < next {
		return
	}
	f.synced = true
}
