package versionlog

import (
	"context"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/latest"
)

// cleanupKey names the removal of old batches, which one daemon does.
const cleanupKey = "streamversions"

// removeOldBatches removes the batches that processes have left when they ended, until ctx ends.
func (l *Log) removeOldBatches(ctx context.Context) {
	for clock.Sleep(ctx, l.Clock, l.options.CleanupPeriod) == nil {
		if l.Group.Decides(cleanupKey) {
			l.removeOldBatchesOnce(ctx)
		}
	}
}

// removeOldBatchesOnce removes the batches that have not changed for longer than a stream lives.
func (l *Log) removeOldBatchesOnce(ctx context.Context) {
	if err := l.reader.refresh(ctx); err != nil {
		l.Count("Streams.CleanupsFailed", 1)
		return
	}
	keys := l.reader.oldBatches(l.Clock.Now().Add(-l.options.Watch.Lifetime))
	if len(keys) == 0 {
		return
	}
	var tombstones []latest.Record
	for _, key := range keys[:min(len(keys), l.options.MaxBatch)] {
		tombstones = append(tombstones, latest.Record{Key: key})
	}
	callCtx, cancel := context.WithTimeout(ctx, l.options.Timeout)
	defer cancel()
	if _, err := l.Store.Put(callCtx, l.options.RecordsTopic, tombstones...); err != nil {
		l.Count("Streams.CleanupsFailed", 1)
		return
	}
	l.Count("Streams.BatchesRemoved", int64(len(tombstones)))
}
