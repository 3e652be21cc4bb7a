// Package feed replicates a topic of the platform's metadata store. It reads the
// topic from other daemons while the store is unavailable to this one, and also
// while one of them reads the store on behalf of the others.
package feed

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/latest"
	"github.com/cranberrywalk/cranberrywalk/store"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// Batch holds the changes of one read.
type Batch struct {
	Records []latest.Record
	// AfterOutage is true for the first read after an outage of the store.
	AfterOutage bool
	// Restored is true for the first read after the store was restored from an older
	// copy: a record may be older than one that was delivered before, and a deletion
	// may only mean that the copy lacks the record.
	Restored bool
}

// Feed keeps a copy of one topic up to date.
type Feed struct {
	common  telemetry.Common
	options Options
	store   store.Store
	peers   Peers
	// handler receives the changes of each read, one read at a time.
	handler func(Batch)
	// deliveryMutex is held from a change of the topic until handler returns, so
	// that batches are delivered in order.
	deliveryMutex sync.Mutex
	// wake receives a value when another daemon has newer records.
	wake chan struct{}
	done chan struct{}

	mutex sync.Mutex
	// topic is guarded by mutex.
	topic *latest.Topic
	// lastConfirmed is when the copy was last known to match the store; guarded
	// by mutex.
	lastConfirmed time.Time
	// listed is true after the first full listing; guarded by mutex.
	listed bool
	// lastStoreRead is when the store was last read; guarded by mutex.
	lastStoreRead time.Time
	// storeUnavailable is true while reads of the store fail; guarded by mutex.
	storeUnavailable bool
}

// New returns a feed that does nothing before Run. It calls handler with the
// changes of each read, one read at a time.
func New(common telemetry.Common, options Options, s store.Store, peers Peers, handler func(Batch)) *Feed {
	return &Feed{
		common: common, options: options, store: s, peers: peers, handler: handler,
		wake: make(chan struct{}, 1), done: make(chan struct{}), topic: latest.New(), lastConfirmed: common.Clock.Now(),
	}
}

// Done is closed by Run when it returns.
func (f *Feed) Done() <-chan struct{} { return f.done }

// Extract returns the records that are missing in a copy which is complete up to a
// position.
func (f *Feed) Extract(from latest.Position) latest.Extract {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.topic.Extract(from)
}

// End returns the position up to which every record is known.
func (f *Feed) End() latest.Position {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.topic.End()
}

// LastConfirmed returns when the copy was last known to match the store: the time of the
// last successful read by this daemon, or by the one from which it read the topic.
func (f *Feed) LastConfirmed() time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.lastConfirmed
}

// Listed reports whether the topic has been listed in full.
func (f *Feed) Listed() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.listed
}

// Run keeps the copy up to date until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	defer close(f.done)
	for ctx.Err() == nil {
		began := f.common.Clock.Now()
		f.round(ctx)
		f.waitForNextRound(ctx, f.options.Period-f.common.Clock.Since(began))
	}
}

// waitForNextRound returns after the given time, or when another daemon has newer
// records.
func (f *Feed) waitForNextRound(ctx context.Context, delay time.Duration) {
	if delay <= 0 {
		return
	}
	timer := f.common.Clock.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-f.wake:
	case <-ctx.Done():
	}
}

// HandlePeerEnd handles the position up to which another daemon's copy is complete. If
// that copy has newer records, a follower, or a daemon without access to the store,
// reads at once.
func (f *Feed) HandlePeerEnd(end latest.Position) {
	if !f.End().Before(end) || !f.StoreUnavailable() && !f.isFollower() {
		return
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// ApplyUpdate applies an update that another daemon has just read. If records before it
// are missing, a read is started instead.
func (f *Feed) ApplyUpdate(update Update) {
	end := f.End()
	follows := update.Extract.AllKeys || update.From.Epoch == end.Epoch && !end.Before(update.From)
	if !f.Listed() || !follows {
		f.HandlePeerEnd(update.Extract.End)
		return
	}
	if end.Before(update.Extract.End) {
		f.merge(update.Extract, f.common.Clock.Now(), false)
	}
}

// merge applies records of a copy that matched the store at the time confirmed.
func (f *Feed) merge(extract latest.Extract, confirmed time.Time, fromStore bool) {
	f.deliveryMutex.Lock()
	defer f.deliveryMutex.Unlock()
	f.mutex.Lock()
	before := f.topic.End()
	changed := f.topic.Apply(extract)
	batch := f.completeRead(changed, confirmed, fromStore)
	if before != (latest.Position{}) && f.topic.End().Epoch > before.Epoch {
		batch.Restored, batch.AfterOutage = true, true
		f.common.Count("Feed.Restored", 1)
		f.common.Log.Info("StoreRestored", "Topic", f.options.Topic, "Before", before, "Epoch", f.topic.End().Epoch,
			"End", f.topic.End().Offset, "FromStore", fromStore)
	}
	f.listed = f.listed || fromStore
	f.mutex.Unlock()
	f.handler(batch)
}

// confirmState records that the copy matched the store at the time confirmed.
func (f *Feed) confirmState(confirmed time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if confirmed.After(f.lastConfirmed) {
		f.lastConfirmed = confirmed
	}
}

// completeRead records a successful read of data that matched the store at the time confirmed,
// and returns the batch to deliver. It is called with the mutex held.
func (f *Feed) completeRead(changed []latest.Record, confirmed time.Time, fromStore bool) Batch {
	batch := Batch{Records: changed, AfterOutage: f.listed && confirmed.Sub(f.lastConfirmed) > f.options.OutageAfter}
	if confirmed.After(f.lastConfirmed) {
		f.lastConfirmed = confirmed
	}
	if fromStore && f.storeUnavailable {
		f.storeUnavailable = false
		f.common.Log.Info("StoreBack", "Topic", f.options.Topic)
	}
	return batch
}

func (f *Feed) markUnavailable(err error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.storeUnavailable {
		return
	}
	f.storeUnavailable = true
	f.common.Log.Info("StoreLost", "Topic", f.options.Topic, "Error", err.Error())
}

// StoreUnavailable reports whether the last read of the store failed.
func (f *Feed) StoreUnavailable() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.storeUnavailable
}
