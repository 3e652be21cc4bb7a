package duties

import (
	"context"
	"errors"
	"strings"

	"github.com/cranberrywalk/cranberrywalk/dutylease"
	"github.com/cranberrywalk/cranberrywalk/latest"
	"github.com/cranberrywalk/cranberrywalk/store"
)

// read applies the new entries of the log. It reports whether it has reached the end.
// logMutex must be held.
func (d *Duties) read(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, d.options.Timeout)
	defer cancel()
	from := d.End()
	entries, err := d.Store.Read(ctx, d.options.Topic, from.Offset, 0)
	var gap *store.GapError
	if errors.As(err, &gap) {
		d.skipGap(from, gap.First)
		return false
	}
	if err != nil {
		d.Count("Duties.ReadsFailed", 1)
		return false
	}
	if entries.Epoch < from.Epoch {
		d.Count("Duties.ReadsFailed", 1)
		d.Log.Error(&store.StaleEpochError{Epoch: entries.Epoch, Known: from.Epoch}, "DutyEntriesStale")
		return false
	}
	if entries.Epoch > from.Epoch {
		d.enterEpoch(entries.Epoch)
		if from.Offset > 0 {
			// The entries before this offset are not those that were read.
			return d.read(ctx)
		}
	}
	for i, entry := range entries.Records {
		d.apply(from.Offset+uint64(i), entry)
	}
	return true
}

// skipGap continues at the first entry that the log still holds.
func (d *Duties) skipGap(from, first latest.Position) {
	if first.Epoch > from.Epoch {
		d.enterEpoch(first.Epoch)
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.lease.Restart(first, d.now())
	d.Log.Info("DutyEntriesGone", "From", from, "First", first)
}

// enterEpoch starts over with a log that was restored from an older copy.
func (d *Duties) enterEpoch(epoch uint64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.epochEnteredAt = d.Clock.Now()
	end := d.lease.End()
	d.lease.EnterEpoch(epoch, d.now())
	_, knowsReports := d.lease.FirstWindow()
	d.Log.Info("DutyLogRestored", "Epoch", epoch, "End", end, "KnowsReports", knowsReports)
}

func (d *Duties) apply(offset uint64, entry []byte) {
	record, err := dutylease.DecodeRecord(offset, entry)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if err != nil {
		d.Log.Error(err, "DutyEntryUnreadable")
		d.lease.Skip(d.now())
		return
	}
	d.lease.Apply(record, d.now())
	if d.isEarlierIncarnation(d.lease.Holder()) {
		d.lease.ProcessEnded(d.lease.Holder())
	}
}

// isEarlierIncarnation reports whether a process is an earlier start of this daemon.
func (d *Duties) isEarlierIncarnation(process string) bool {
	daemon, _, _ := strings.Cut(d.options.Process, "/")
	return process != d.options.Process && strings.HasPrefix(process, daemon+"/")
}

// append adds a record at the end of the log as read so far. It reports whether the
// record is known to have taken effect. logMutex must be held.
func (d *Duties) append(ctx context.Context, record dutylease.Record) bool {
	end := d.End()
	record.Epoch, record.FirstWindow = end.Epoch, d.firstWindow()
	content, err := record.Encode()
	if err != nil {
		d.Log.Error(err, "DutyRecordNotEncoded")
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, d.options.Timeout)
	defer cancel()
	began := d.now()
	epoch, err := d.Store.Append(ctx, d.options.Topic, end.Offset, content)
	if err == nil && epoch == end.Epoch {
		d.mutex.Lock()
		d.lease.Appended(record, began, d.now())
		d.mutex.Unlock()
		return true
	}
	d.Count("Duties.AppendsFailed", 1)
	// Either the record took effect and the response was lost, or another
	// process appended first, or the log was restored. Reading the log shows which.
	d.read(ctx)
	return false
}
