package feed

import (
	"context"
	"errors"
	"time"

	"github.com/cranberrywalk/cranberrywalk/latest"
	"github.com/cranberrywalk/cranberrywalk/store"
)

// round reads the store once. While the store is unavailable, it reads from other
// daemons first. A follower reads from them instead, as long as its copy is fresh.
func (f *Feed) round(ctx context.Context) {
	timeout, wait := f.options.Timeout, f.options.Wait
	switch {
	case f.StoreUnavailable():
		// A read that waits for a record would run into the shorter timeout
		// when nothing is written.
		timeout, wait = f.options.UnavailableTimeout, 0
		f.readPeers(ctx)
	case f.isFollower():
		f.readPeers(ctx)
		if f.isOutdated() {
			f.readReader(ctx)
		}
		if f.isFresh() {
			return
		}
	}
	f.recordStoreRead()
	err := f.readStore(ctx, timeout, wait)
	if err == nil || ctx.Err() != nil {
		return
	}
	f.common.Count("Feed.ReadsFailed", 1)
	f.markUnavailable(err)
}

// isFollower reports whether another daemon reads the store for this one.
func (f *Feed) isFollower() bool {
	return f.options.FollowerReadPeriod > 0 && f.Listed() && !f.peers.ReadsForOthers()
}

// isFresh reports whether a follower need not read the store yet.
func (f *Feed) isFresh() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := f.common.Clock.Now()
	return now.Sub(f.lastConfirmed) < f.options.StaleAfter && now.Sub(f.lastStoreRead) < f.options.FollowerReadPeriod
}

// isOutdated reports whether the copy of a follower is too old.
func (f *Feed) isOutdated() bool {
	return f.common.Clock.Since(f.LastConfirmed()) >= f.options.StaleAfter
}

func (f *Feed) recordStoreRead() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.lastStoreRead = f.common.Clock.Now()
}

func (f *Feed) readStore(ctx context.Context, timeout, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if !f.Listed() {
		return f.list(ctx)
	}
	from := f.End()
	extract, err := f.store.ReadKeyed(ctx, f.options.Topic, from.Offset, wait)
	var gap *store.GapError
	if errors.As(err, &gap) {
		f.common.Log.Info("RecordsGone", "Topic", f.options.Topic, "From", from, "First", gap.First)
		return f.list(ctx)
	}
	if err != nil {
		return err
	}
	if extract.End.Epoch > from.Epoch {
		return f.list(ctx)
	}
	if extract.End.Epoch < from.Epoch {
		return &store.StaleEpochError{Epoch: extract.End.Epoch, Known: from.Epoch}
	}
	if extract.WithoutKey > 0 {
		f.common.Log.Info("RecordsWithoutKey", "Topic", f.options.Topic, "From", from, "Records", extract.WithoutKey)
	}
	f.merge(extract, f.common.Clock.Now(), true)
	if from.Before(extract.End) {
		f.broadcast(Update{Topic: f.options.Topic, From: from, Extract: extract})
	}
	return nil
}

// broadcast sends an update to other daemons if this one reads the store for them.
func (f *Feed) broadcast(update Update) {
	if f.peers.ReadsForOthers() {
		f.peers.Broadcast(update)
	}
}

// list reads the newest record of each key. A listing of a restored store is sent to
// other daemons, since their copies are of an earlier epoch.
func (f *Feed) list(ctx context.Context) error {
	listing, err := f.store.Newest(ctx, f.options.Topic)
	if err != nil {
		return err
	}
	known := f.End()
	if listing.End.Epoch < known.Epoch {
		return &store.StaleEpochError{Epoch: listing.End.Epoch, Known: known.Epoch}
	}
	f.merge(listing, f.common.Clock.Now(), true)
	if listing.End.Epoch > known.Epoch && known != (latest.Position{}) {
		f.broadcast(Update{Topic: f.options.Topic, Extract: listing})
	}
	return nil
}

// readPeers reads the missing records from the daemon that is furthest ahead. If
// that daemon has no newer records, its copy confirms this one as of its age.
func (f *Feed) readPeers(ctx context.Context) {
	newest, found := f.peers.Newest(f.options.Topic)
	if !found || newest.End.Before(f.End()) {
		return
	}
	if newest.End == f.End() && f.Listed() {
		f.confirmState(f.common.Clock.Now().Add(-newest.Age))
		return
	}
	f.readFrom(ctx, f.peers.Records)
}

// readReader asks the daemon that reads the store for this one, also if it has no newer records. In
// a large group, digests come so seldom that the ages in them say that the copy is too old while the
// reader's own copy is not. Without this, most reads of the store come from followers.
func (f *Feed) readReader(ctx context.Context) {
	f.common.Count("Feed.ReaderAsked", 1)
	f.readFrom(ctx, f.peers.ReaderRecords)
}

// readFrom reads the missing records from another daemon. If there are none, its copy confirms this one
// as of its age. The age is counted from before the call, since the reply may have been under way for long.
func (f *Feed) readFrom(ctx context.Context, records func(context.Context, string, latest.Position) (latest.Extract, time.Duration, error)) {
	ctx, cancel := context.WithTimeout(ctx, f.options.PeerTimeout)
	defer cancel()
	asked := f.common.Clock.Now()
	extract, age, err := records(ctx, f.options.Topic, f.End())
	if err != nil {
		f.common.Count("Feed.PeerReadsFailed", 1)
		return
	}
	confirmed := asked.Add(-age)
	switch end := f.End(); {
	case end.Before(extract.End):
		f.merge(extract, confirmed, false)
	case end == extract.End:
		f.confirmState(confirmed)
	}
}
