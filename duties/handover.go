package duties

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/latest"
	"github.com/cranberrywalk/cranberrywalk/store"
	"github.com/cranberrywalk/cranberrywalk/usage"
)

// HandOver writes the counts of this process in windows that are not known to be decided
// to the store, for whoever decides them, and returns them. If there are none, it writes
// nothing. The process must not start requests any more.
func (d *Duties) HandOver(ctx context.Context) ([]usage.Count, error) {
	counts := d.undecidedCounts()
	if len(counts) == 0 {
		return nil, nil
	}
	content, err := usage.EncodeHandover(usage.ProcessCounts{Process: d.options.Process, Counts: counts})
	if err != nil {
		return counts, err
	}
	return counts, d.putHandover(ctx, content)
}

// undecidedCounts returns the counts of this process in windows that may still be
// reported and are not known to be decided.
func (d *Duties) undecidedCounts() []usage.Count {
	if !d.options.ReportsUsage {
		return nil
	}
	return slices.DeleteFunc(d.Usage.OwnCounts(d.firstReportable()), func(count usage.Count) bool {
		_, _, decided := d.decidedReport(count.Window)
		return decided
	})
}

// firstReportable returns the oldest window that is still reported.
func (d *Duties) firstReportable() int64 {
	return d.Usage.Window(d.SyncedClock.At(d.Clock.Now()).Add(-d.options.UsageMaxAge))
}

// handoverRetryDelay is the time between two attempts to write a handover.
const handoverRetryDelay = 75 * time.Millisecond

// putHandover writes a handover, and tries again until it is known to be written or ctx
// ends. A handover that is written twice is merged once.
func (d *Duties) putHandover(ctx context.Context, content []byte) error {
	for {
		_, err := d.Store.Put(ctx, d.options.CountsTopic, latest.Record{Key: d.options.Process, Value: content})
		if err == nil || clock.Sleep(ctx, d.Clock, handoverRetryDelay) != nil {
			return err
		}
	}
}

// readHandovers merges the counts that stopped processes have handed over. It reports
// whether it has reached the end of the topic.
func (d *Duties) readHandovers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, d.options.Timeout)
	defer cancel()
	for {
		read, err := d.Store.ReadKeyed(ctx, d.options.CountsTopic, d.handoversEnd.Offset, 0)
		if !d.canContinue(read.End, err) {
			return false
		}
		if len(read.Records) == 0 {
			return true
		}
		for _, record := range read.Records {
			d.mergeHandover(record)
		}
		d.handoversEnd = read.End
	}
}

// canContinue evaluates a read of handovers up to end. If the records that were asked for
// are gone, or the store was restored, the next read begins at the first record.
func (d *Duties) canContinue(end latest.Position, err error) bool {
	var gap *store.GapError
	switch {
	case errors.As(err, &gap):
		d.handoversEnd = gap.First
		return false
	case err != nil, end.Epoch < d.handoversEnd.Epoch:
		d.Count("Duties.HandoverReadsFailed", 1)
		return false
	case end.Epoch > d.handoversEnd.Epoch && d.handoversEnd.Offset > 0:
		d.handoversEnd = latest.Position{Epoch: end.Epoch}
		return false
	}
	return true
}

// mergeHandover merges a handover, without the counts that are too old to be reported.
func (d *Duties) mergeHandover(record latest.Record) {
	handover, err := usage.DecodeHandover(record.Offset, record.Value)
	if err != nil {
		d.Log.Error(err, "HandoverUnreadable")
		return
	}
	if handover.Process == d.options.Process {
		return
	}
	d.Usage.Ended(handover.Process)
	first := d.firstReportable()
	counts := slices.DeleteFunc(handover.Counts, func(count usage.Count) bool { return count.Window < first })
	if len(counts) > 0 {
		d.Usage.Merge(handover.Process, counts)
	}
}
