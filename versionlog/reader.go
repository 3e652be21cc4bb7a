package versionlog

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/latest"
	"github.com/cranberrywalk/cranberrywalk/store"
	"github.com/cranberrywalk/cranberrywalk/streamversion"
)

// reader reads the records of all processes when a stream has to be found. Searches share a
// reading that begins after they do.
type reader struct {
	log      *Log
	readings *sharedCalls

	mutex sync.Mutex
	// topic holds the values of the records' topic, and table the records in them; guarded by
	// mutex.
	topic *latest.Topic
	table *streamversion.Table
	// epoch is the epoch of the store that was last seen, and epochSince when it was first seen.
	// hasEpoch is false before the first one. All are guarded by mutex.
	epoch      uint64
	epochSince time.Time
	hasEpoch   bool
	// readAt is when the last reading without a failure began; guarded by mutex.
	readAt time.Time
}

// listAfter is the time since the last reading after which the newest values are listed: each of
// them was written many times since.
const listAfter = 10 * time.Second

func newReader(l *Log) *reader {
	return &reader{log: l, readings: newSharedCalls(l.Clock), topic: latest.New(), table: streamversion.NewTable()}
}

// refresh reads what the store holds now.
func (r *reader) refresh(ctx context.Context) error { return r.readings.await(ctx) }

func (r *reader) run(ctx context.Context) { r.readings.run(ctx, 0, r.read) }

// read reads the rules, if they are old, and then the records since the last time.
func (r *reader) read(ctx context.Context) error {
	if err := r.log.refreshRules(ctx, r.log.options.RuleMaxAge); err != nil {
		return err
	}
	r.mutex.Lock()
	from, readAt := r.topic.End(), r.readAt
	r.mutex.Unlock()
	began := r.log.Clock.Now()
	if began.Sub(readAt) > listAfter {
		from = latest.Position{}
	}
	extract, err := r.readSince(ctx, from)
	if err != nil {
		return err
	}
	r.apply(extract, began)
	if _, _, isEmpty := r.record(0); isEmpty {
		r.log.observeNoRecords(extract.End.Epoch, began)
	}
	return nil
}

// readSince returns the values since a position, or the newest ones of all keys if that is zero or
// the store does not hold its history from there on.
func (r *reader) readSince(ctx context.Context, from latest.Position) (latest.Extract, error) {
	if from == (latest.Position{}) {
		return r.list(ctx)
	}
	extract, err := r.readFrom(ctx, from)
	var gap *store.GapError
	if errors.As(err, &gap) || err == nil && extract.End.Epoch != from.Epoch {
		return r.list(ctx)
	}
	return extract, err
}

// readFrom returns all records from a position on.
func (r *reader) readFrom(ctx context.Context, from latest.Position) (latest.Extract, error) {
	all := latest.Extract{End: from}
	for {
		callCtx, cancel := context.WithTimeout(ctx, r.log.options.Timeout)
		extract, err := r.log.Store.ReadKeyed(callCtx, r.log.options.RecordsTopic, all.End.Offset, 0)
		cancel()
		if err != nil {
			return latest.Extract{}, err
		}
		if extract.End.Epoch != from.Epoch || len(extract.Records) == 0 {
			all.End.Epoch = extract.End.Epoch
			return all, nil
		}
		all.Records = append(all.Records, extract.Records...)
		all.End = extract.End
		if sizeOf(extract.Records) < wholeReadBytes {
			return all, nil
		}
	}
}

// wholeReadBytes is the size from which on a reading may have been cut off by the store.
const wholeReadBytes = 256 << 10

func sizeOf(records []latest.Record) int {
	size := 0
	for _, record := range records {
		size += len(record.Value)
	}
	return size
}

// list reads the newest value of every key.
func (r *reader) list(ctx context.Context) (latest.Extract, error) {
	listCtx, cancel := context.WithTimeout(ctx, r.log.options.FindTimeout)
	defer cancel()
	return r.log.Store.Newest(listCtx, r.log.options.RecordsTopic)
}

// apply merges values into the table that were read from a time on.
func (r *reader) apply(extract latest.Extract, began time.Time) {
	r.observeEpoch(extract.End.Epoch)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.readAt = began
	now := r.log.Clock.Now()
	for _, record := range r.topic.Apply(extract) {
		if record.IsTombstone() {
			r.table.Delete(record.Key)
			continue
		}
		records, err := streamversion.DecodeBatch(record.Value)
		if err != nil {
			r.log.Count("Streams.BatchesUnreadable", 1)
			r.log.Log.Error(err, "StreamBatchUnreadable", "Key", record.Key)
			continue
		}
		r.table.Put(record.Key, records, now)
	}
}

// observeEpoch records the epoch of an answer of the store. After a restore, this process writes
// its records again.
func (r *reader) observeEpoch(epoch uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.hasEpoch && epoch <= r.epoch {
		return
	}
	if r.hasEpoch {
		r.log.Log.Info("StreamRecordsRestored", "Epoch", epoch)
		r.epochSince = r.log.Clock.Now()
		r.log.writer.observeRestore()
	}
	r.epoch, r.hasEpoch = epoch, true
}

// isSettled reports whether the records of all processes that live can be expected to be in the
// store again after its last restore.
func (r *reader) isSettled(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.epochSince.IsZero() || now.Sub(r.epochSince) >= r.log.options.Watch.RestoreDelay
}

// record returns the record of a stream, and whether any stream has one.
func (r *reader) record(stream streamversion.Stream) (found streamversion.Record, hasRecord, isEmpty bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	found, hasRecord = r.table.Find(stream)
	return found, hasRecord, r.table.IsEmpty()
}

// oldBatches returns the keys of the batches that have not changed since a time.
func (r *reader) oldBatches(since time.Time) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.table.UnchangedSince(since)
}
