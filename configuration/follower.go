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

// subscribeRetry is the pause before a subscription that ended is renewed.
const subscribeRetry = 100 * time.Millisecond

// Follower folds the configuration stream and keeps the state in force. The
// state only ever moves to a higher offset.
type Follower struct {
	telemetry.Common
	log    hosting.Log
	stream string
	wait   time.Duration
	// done is closed when Run has returned.
	done chan struct{}

	mu       sync.Mutex
	follower plan.Follower
	// booted is true once the state is known to be as new as the log, or as
	// the peers when the log can't be read. It never goes back to false.
	booted bool
	// unsnapshotted counts the records since the last snapshot in the log.
	unsnapshotted int
	// snapshotSeen is the local time of the last snapshot in the log, or of
	// the first look for one.
	snapshotSeen time.Time
}

// NewFollower returns a follower that starts at the beginning of the stream.
// wait is how long a read waits for new records.
func NewFollower(common telemetry.Common, log hosting.Log, stream string, wait time.Duration) *Follower {
	return &Follower{Common: common, log: log, stream: stream, wait: wait, done: make(chan struct{})}
}

// State returns the state in force. It returns false until the daemon has
// booted and both lists have been published.
func (f *Follower) State() (plan.State, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.follower.State()
	return state, f.booted && state.IsComplete()
}

// Offset returns the offset after the last folded record.
func (f *Follower) Offset() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.follower.State().Offset()
}

// Snapshot returns the state as bytes for a peer, with its offset.
func (f *Follower) Snapshot() ([]byte, uint64) {
	f.mu.Lock()
	state := f.follower.State()
	f.mu.Unlock()
	return state.Snapshot(), state.Offset()
}

// Adopt takes over a peer's state when it is newer. It returns a
// *plan.SnapshotError when the bytes hold no state.
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
		f.inForce(after, "from a peer")
	}
	return nil
}

// BootFromPeers says that the log can't be read and that the state is as new
// as that of every peer that can be reached.
func (f *Follower) BootFromPeers() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.booted = f.booted || f.follower.State().IsComplete()
}

// Done is closed when Run has returned.
func (f *Follower) Done() <-chan struct{} { return f.done }

// Run follows the stream until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	defer close(f.done)
	subscriber := logstream.NewSubscriber(f.Common, f.log, f.subscription())
	// Close only waits for the subscriptions, which ctx ends.
	defer func() { _ = subscriber.Close() }()
	for ctx.Err() == nil {
		f.follow(ctx, subscriber)
		// The loop sees the end of ctx.
		_ = clock.Sleep(ctx, f.Clock, subscribeRetry)
	}
}

func (f *Follower) subscription() logstream.Options {
	options := logstream.DefaultOptions()
	options.Wait = f.wait
	options.From = func(string) uint64 { return f.from() }
	options.Trimmed = func(_ context.Context, trimmed *hosting.TrimmedError) (uint64, error) {
		return f.trimmed(trimmed.First), nil
	}
	options.CaughtUp = func(_ string, next uint64) { f.caughtUp(next) }
	return options
}

// follow folds the messages of one subscription until the next record to
// fold is not the one that the subscription delivers next.
func (f *Follower) follow(ctx context.Context, subscriber message.Subscriber) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	messages, err := subscriber.Subscribe(ctx, f.stream)
	if err != nil {
		return
	}
	for m := range messages {
		next, err := f.fold(m)
		m.Ack()
		if err != nil || next != f.from() {
			return
		}
	}
}

// fold folds one message and returns the offset after it.
func (f *Follower) fold(m *message.Message) (uint64, error) {
	offset, err := logstream.Offset(m)
	if err != nil {
		return 0, err
	}
	f.mu.Lock()
	follower, verdict := f.follower.Fold(hosting.Record{Offset: offset, Payload: m.Payload})
	f.follower = follower
	f.unsnapshotted++
	if isSnapshot(m.Payload) {
		f.unsnapshotted = 0
		f.snapshotSeen = f.Clock.Now()
	}
	current := follower.State().Offset()
	f.mu.Unlock()
	f.judge(verdict, current)
	return offset + 1, nil
}

func (f *Follower) judge(verdict plan.Verdict, offset uint64) {
	if verdict.Accepted {
		f.Count(CounterAccepted, 1)
		f.inForce(offset, verdict.Identity)
		return
	}
	f.Count(CounterRefused, 1)
}

// inForce reports that a state has come into force.
func (f *Follower) inForce(offset uint64, detail string) {
	f.Log.Info("configuration in force", "Offset", offset, "Change", detail)
	f.Events.Record(telemetry.Event{Kind: "ConfigurationInForce", Detail: detail})
}

func (f *Follower) from() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.follower.From()
}

func (f *Follower) trimmed(first uint64) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.follower = f.follower.WithTrimmed(first)
	return f.follower.From()
}

// caughtUp notes that every record up to next has been folded. A follower
// that found a gap and no snapshot is not up to date.
func (f *Follower) caughtUp(next uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.follower.HasGap() || f.follower.State().Offset() < next {
		return
	}
	f.booted = true
}
