// Package latest holds the newest record of each key of a log, as a compacted
// log does. Records may come from the log or from another daemon, in any order
// and more than once; the highest offset of a key wins. When the log has been
// restored from an older copy, its listing replaces what was held before. The
// package does no I/O.
package latest

import (
	"bytes"
	"cmp"
	"slices"
)

// Record is one record of a key.
type Record struct {
	Key string
	// Value is empty when the key was deleted.
	Value  []byte
	Offset uint64
}

// IsTombstone reports whether the record is a tombstone, which deletes its key.
func (r Record) IsTombstone() bool { return len(r.Value) == 0 }

// Topic holds the newest record of each key of one log. It is not safe for
// concurrent use.
type Topic struct {
	// records includes tombstones, so that deletions reach other daemons. All
	// records are of the epoch of end.
	records map[string]Record
	// end is the position up to which every record is known. It never decreases.
	end Position
	// tombstonesFrom is the offset from which all tombstones of the epoch are known.
	tombstonesFrom uint64
}

// Extract is a part of a topic, as it is read from the log or from another daemon.
type Extract struct {
	// Records are of the epoch of End.
	Records []Record
	// End is the position up to which the records are complete.
	End Position
	// AllKeys is true when the records cover all keys, so that a key which is
	// missing was deleted; otherwise the records are those at or after an
	// offset.
	AllKeys bool
	// WithoutKey counts the records that were left out since no key could be found in them.
	WithoutKey int
}

// New returns a topic without records.
func New() *Topic { return &Topic{records: make(map[string]Record)} }

// End returns the position up to which every record is known.
func (t *Topic) End() Position { return t.end }

// Apply merges an extract into the topic and returns the records that changed it. An
// extract of an earlier epoch changes nothing. Neither does one of a later epoch
// unless it covers all keys, since earlier records of that epoch would be missing.
func (t *Topic) Apply(extract Extract) []Record {
	switch {
	case extract.End.Epoch < t.end.Epoch:
		return nil
	case extract.End.Epoch > t.end.Epoch && !extract.AllKeys:
		return nil
	case extract.End.Epoch > t.end.Epoch:
		return t.enterEpoch(extract)
	case extract.AllKeys:
		return t.replace(extract)
	}
	return t.merge(extract.Records, extract.End)
}

// merge adds records that are complete from the topic's end to a given end.
func (t *Topic) merge(records []Record, end Position) []Record {
	var changed []Record
	for _, record := range records {
		if t.put(record) {
			changed = append(changed, record)
		}
	}
	if t.end.Before(end) {
		t.end = end
	}
	return changed
}

// replace applies a listing of the newest record of every key. It adds a tombstone
// for a key that the listing lacks, unless the topic's record of the key is newer than
// the listing.
func (t *Topic) replace(listing Extract) []Record {
	tombstones := t.missingIn(listing)
	if t.end.Offset == 0 {
		t.tombstonesFrom = listing.End.Offset
	}
	return t.merge(append(tombstones, listing.Records...), listing.End)
}

// enterEpoch replaces all records with those of a restored log. It returns the
// records whose value differs from the one held, and tombstones for the keys that the
// restored log lacks.
func (t *Topic) enterEpoch(listing Extract) []Record {
	previous := t.records
	t.records = make(map[string]Record, len(listing.Records))
	t.end, t.tombstonesFrom = listing.End, listing.End.Offset
	var changed []Record
	for _, record := range listing.Records {
		t.records[record.Key] = record
		if held := previous[record.Key]; !bytes.Equal(held.Value, record.Value) {
			changed = append(changed, record)
		}
	}
	for key, held := range previous {
		if _, listed := t.records[key]; !listed && !held.IsTombstone() {
			changed = append(changed, Record{Key: key, Offset: listing.End.Offset})
		}
	}
	slices.SortFunc(changed, compareRecords)
	return changed
}

// missingIn returns tombstones for the keys that a listing of the same epoch lacks.
func (t *Topic) missingIn(listing Extract) []Record {
	listed := make(map[string]bool, len(listing.Records))
	for _, record := range listing.Records {
		listed[record.Key] = true
	}
	var tombstones []Record
	for key, held := range t.records {
		if !listed[key] && !held.IsTombstone() && held.Offset < listing.End.Offset {
			tombstones = append(tombstones, Record{Key: key, Offset: listing.End.Offset - 1})
		}
	}
	return tombstones
}

// Extract returns what is missing in a copy that is complete up to a position: the
// records from there on, or all keys if tombstones may be missing or the copy is of
// another epoch.
func (t *Topic) Extract(from Position) Extract {
	if from.Epoch != t.end.Epoch || from.Offset < t.tombstonesFrom {
		return Extract{Records: t.live(), End: t.end, AllKeys: true}
	}
	return Extract{Records: t.Since(from.Offset), End: t.end}
}

// live returns the records that are not tombstones.
func (t *Topic) live() []Record {
	return slices.DeleteFunc(t.Since(0), Record.IsTombstone)
}

// Since returns the records at or after an offset, ordered by offset.
func (t *Topic) Since(offset uint64) []Record {
	var records []Record
	for _, record := range t.records {
		if record.Offset >= offset {
			records = append(records, record)
		}
	}
	slices.SortFunc(records, compareRecords)
	return records
}

// compareRecords orders records by offset.
func compareRecords(x, y Record) int {
	return cmp.Or(cmp.Compare(x.Offset, y.Offset), cmp.Compare(x.Key, y.Key))
}

func (t *Topic) put(record Record) bool {
	held, found := t.records[record.Key]
	if found && held.Offset >= record.Offset {
		return false
	}
	t.records[record.Key] = record
	return true
}
