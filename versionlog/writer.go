package versionlog

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/latest"
	"github.com/cranberrywalk/cranberrywalk/store"
	"github.com/cranberrywalk/cranberrywalk/streamversion"
)

// writer writes the records of this process, one call at a time. Records that come during a call
// are written by the next one.
type writer struct {
	log *Log
	// wake receives a value when there is something to write.
	wake chan struct{}
	// batches are those that the store may hold, oldest first. The last one is open if isOpen is
	// true. They belong to the goroutine of run.
	batches []*batch
	isOpen  bool
	// begun counts the batches.
	begun int

	mutex sync.Mutex
	// pending are the records that wait to be written, oldest first; guarded by mutex.
	pending []pendingRecord
	// inCall is the number of the first of them that a call is writing; guarded by mutex.
	inCall int
	// isFailing is true from a failed call to the next one that succeeds; guarded by mutex.
	isFailing bool
	// isRestored is true if the store has to get all batches again; guarded by mutex.
	isRestored bool
}

// pendingRecord is a record that the store does not hold yet.
type pendingRecord struct {
	record streamversion.Record
	since  time.Time
	// recorded is closed once the store holds the record.
	recorded chan struct{}
	// maybeWritten is true from the first call with the record whose end is not known to have
	// changed nothing.
	maybeWritten bool
}

// batch is a value that holds several records under one key. Each call writes the open batch anew,
// with more records.
type batch struct {
	key     string
	records []streamversion.Record
	// openedAt is when its first record was added, and closedAt when its last one.
	openedAt, closedAt time.Time
}

func newWriter(l *Log) *writer { return &writer{log: l, wake: make(chan struct{}, 1)} }

// add adds a record to those that wait. One that is too many is dropped, and its channel is never
// closed.
func (w *writer) add(record streamversion.Record) <-chan struct{} {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	p := pendingRecord{record: record, since: w.log.Clock.Now(), recorded: make(chan struct{})}
	if len(w.pending) >= w.log.options.MaxPending {
		w.log.Count("Streams.RecordsDropped", 1)
		return p.recorded
	}
	w.pending = append(w.pending, p)
	w.signal()
	return p.recorded
}

// withdraw removes a record that waits, and reports whether no call has or may have written it.
func (w *writer) withdraw(record streamversion.Record) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	i := slices.IndexFunc(w.pending, func(p pendingRecord) bool { return p.record == record })
	if i < w.inCall || w.pending[i].maybeWritten {
		return false
	}
	w.pending = slices.Delete(w.pending, i, i+1)
	return true
}

func (w *writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// isHealthy reports whether records are written in time.
func (w *writer) isHealthy() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.isFailing {
		return false
	}
	within := max(w.log.options.HealthyWithin, 2*w.pause())
	return len(w.pending) == 0 || w.log.Clock.Since(w.pending[0].since) <= within
}

// canRecord reports whether a further record is likely to be written in time. While no record waits, the
// next one shows whether the store is back.
func (w *writer) canRecord() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(w.pending) == 0 {
		return true
	}
	within := max(w.log.options.HealthyWithin, 2*w.pause())
	return !w.isFailing && w.log.Clock.Since(w.pending[0].since) <= within
}

// observeRestore has all batches written again if the store was restored from an older copy, which
// may lack some.
func (w *writer) observeRestore() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.isRestored = true
	w.signal()
}

func (w *writer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		}
		if clock.Sleep(ctx, w.log.Clock, w.write(ctx)) != nil {
			return
		}
	}
}

// write writes what waits, and returns how long to wait before the next call.
func (w *writer) write(ctx context.Context) time.Duration {
	taken, rewrites := w.take()
	if len(taken) == 0 && !rewrites {
		return 0
	}
	now := w.log.Clock.Now()
	records, err := w.recordsToPut(taken, rewrites, now)
	if err != nil {
		w.log.Log.Error(err, "StreamsNotEncoded", "Records", len(taken))
		return 0
	}
	if len(records) == 0 {
		return 0
	}
	callCtx, cancel := context.WithTimeout(ctx, w.log.options.Timeout)
	epoch, err := w.log.Store.Put(callCtx, w.log.options.RecordsTopic, records...)
	cancel()
	if err != nil {
		w.fail(taken, rewrites, err)
		return w.log.options.RetryDelay
	}
	w.succeed(taken, records, epoch)
	return w.pause()
}

// take returns the records that wait, which stay pending until the store holds them.
func (w *writer) take() (taken []pendingRecord, rewrites bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.inCall = min(len(w.pending), w.log.options.MaxBatch)
	taken = slices.Clone(w.pending[:w.inCall])
	rewrites = w.isRestored
	w.isRestored = false
	return taken, rewrites
}

// recordsToPut returns the values for the next call: the open batch with the records that are
// added, tombstones of the expired ones and, after a restore, all others.
func (w *writer) recordsToPut(taken []pendingRecord, rewrites bool, now time.Time) ([]latest.Record, error) {
	values := w.dropExpired(now)
	if len(taken) > 0 {
		w.addToBatch(taken, now)
	}
	changed := w.batches
	if !rewrites && len(changed) > 0 {
		changed = changed[len(changed)-1:]
	}
	for _, b := range changed {
		content, err := streamversion.EncodeBatch(b.records)
		if err != nil {
			return nil, err
		}
		values = append(values, latest.Record{Key: b.key, Value: content})
	}
	return values, nil
}

func (w *writer) addToBatch(taken []pendingRecord, now time.Time) {
	open := w.openBatch(len(taken), now)
	for _, p := range taken {
		open.records = append(open.records, p.record)
	}
	open.closedAt = now
}

// openBatch returns the batch for a number of further records.
func (w *writer) openBatch(count int, now time.Time) *batch {
	if w.isOpen {
		open := w.batches[len(w.batches)-1]
		if now.Sub(open.openedAt) < w.log.options.BatchLength && len(open.records)+count <= w.log.options.MaxBatch {
			return open
		}
	}
	w.begun++
	open := &batch{key: fmt.Sprintf("%s/%d", w.log.options.Process, w.begun), openedAt: now}
	w.batches, w.isOpen = append(w.batches, open), true
	return open
}

// dropExpired forgets the batches whose streams can't be resumed any more, and returns tombstones
// for them.
func (w *writer) dropExpired(now time.Time) []latest.Record {
	var tombstones []latest.Record
	for len(w.batches) > 0 && now.Sub(w.batches[0].closedAt) > w.log.options.Watch.Lifetime {
		tombstones = append(tombstones, latest.Record{Key: w.batches[0].key})
		w.batches = w.batches[1:]
	}
	if len(w.batches) == 0 {
		w.isOpen = false
	}
	return tombstones
}

// fail keeps the records pending. The call may still take effect, after later ones, so that the key
// of its batch is not used again. The batch keeps the records that the store is known to hold.
func (w *writer) fail(taken []pendingRecord, rewrites bool, cause error) {
	w.isOpen = false
	if last := len(w.batches) - 1; len(taken) > 0 {
		written := len(w.batches[last].records) - len(taken)
		w.batches[last].records = w.batches[last].records[:written]
		if written == 0 {
			w.batches = w.batches[:last]
		}
	}
	w.log.Count("Streams.RecordsFailed", int64(len(taken)))
	var unavailable *store.UnavailableError
	wasRejected := errors.As(cause, &unavailable) && unavailable.Status != 0
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.inCall = 0
	for i := range taken {
		w.pending[i].maybeWritten = w.pending[i].maybeWritten || !wasRejected
	}
	if !w.isFailing {
		w.log.Log.Info("StreamRecordsFail", "Records", len(taken), "Reason", cause.Error())
	}
	w.isFailing = true
	w.isRestored = w.isRestored || rewrites
	w.signal()
}

// succeed ends the wait for the records that the store holds now.
func (w *writer) succeed(taken []pendingRecord, written []latest.Record, epoch uint64) {
	w.log.Count("Streams.Recorded", int64(len(taken)))
	w.log.Count("Streams.RecordCalls", 1)
	w.log.reader.observeEpoch(epoch)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.isFailing {
		w.log.Log.Info("StreamRecordsWritten", "Records", len(taken), "Values", len(written))
	}
	w.isFailing = false
	w.inCall = 0
	w.pending = w.pending[len(taken):]
	for _, p := range taken {
		close(p.recorded)
	}
	if len(w.pending) > 0 {
		w.signal()
	}
}

// writeShare is the part of the writing calls to the store that all daemons together use for
// records.
const writeShare = 0.5

// pause returns how long to wait between two calls, so that all daemons together make no more than
// their share.
func (w *writer) pause() time.Duration {
	if w.log.options.WritesPerSecond <= 0 {
		return 0
	}
	perSecond := writeShare * w.log.options.WritesPerSecond / float64(w.log.Group.Size())
	return time.Duration(float64(time.Second) / perSecond)
}
