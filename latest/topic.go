// Package latest holds the newest record of each key of a log, as a compacted
// log does. Records may come from the log or from another daemon, in any order
// and more than once; the highest offset of a key wins. The package does no I/O.
package latest

import (
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
	// records includes tombstones, so that deletions reach other daemons.
	records map[string]Record
	// end is the offset up to which every record is known. It never decreases.
	end uint64
	// tombstonesFrom is the offset from which all tombstones are known.
	tombstonesFrom uint64
}

// Extract is the part of a topic that one daemon sends to another.
type Extract struct {
	Records []Record
	// End is the offset up to which the records are complete.
	End uint64
	// AllKeys is true when the records cover all keys, so that a key which is
	// missing was deleted; otherwise the records are those at or after an
	// offset.
	AllKeys bool
}

// New returns a topic without records.
func New() *Topic { return &Topic{records: make(map[string]Record)} }

// End returns the offset up to which every record is known.
func (t *Topic) End() uint64 { return t.end }

// Merge adds records that are complete from the topic's end to a given end, and
// returns those that changed the topic.
func (t *Topic) Merge(records []Record, end uint64) []Record {
	var changed []Record
	for _, record := range records {
		if t.put(record) {
			changed = append(changed, record)
		}
	}
	t.end = max(t.end, end)
	return changed
}

// Replace applies a listing of the newest record of every key, which covers at
// least everything before the offset end, and returns the records that changed
// the topic. It adds a tombstone for a key that the listing lacks, unless the
// topic's record of the key has an offset of end or higher.
func (t *Topic) Replace(listing []Record, end uint64) []Record {
	listed := make(map[string]bool, len(listing))
	for _, record := range listing {
		listed[record.Key] = true
	}
	var tombstones []Record
	for key, held := range t.records {
		if !listed[key] && !held.IsTombstone() && held.Offset < end {
			tombstones = append(tombstones, Record{Key: key, Offset: end - 1})
		}
	}
	if t.end == 0 {
		t.tombstonesFrom = end
	}
	return t.Merge(append(tombstones, listing...), end)
}

// Extract returns what is missing in a copy that is complete up to an offset: the
// records from there on, or all keys if tombstones may be missing.
func (t *Topic) Extract(from uint64) Extract {
	if from < t.tombstonesFrom {
		return Extract{Records: t.live(), End: t.end, AllKeys: true}
	}
	return Extract{Records: t.Since(from), End: t.end}
}

// Apply merges an extract into the topic and returns the records that changed it.
func (t *Topic) Apply(extract Extract) []Record {
	if extract.AllKeys {
		return t.Replace(extract.Records, extract.End)
	}
	return t.Merge(extract.Records, extract.End)
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
	slices.SortFunc(records, func(x, y Record) int {
		return cmp.Or(cmp.Compare(x.Offset, y.Offset), cmp.Compare(x.Key, y.Key))
	})
	return records
}

func (t *Topic) put(record Record) bool {
	held, found := t.records[record.Key]
	if found && held.Offset >= record.Offset {
		return false
	}
	t.records[record.Key] = record
	return true
}
