// Package latest holds the newest record of each key of a log. Records may
// come from the log or from another daemon, in any order and more than once;
// the highest offset of a key wins. The package has no input or output.
package latest

import (
	"cmp"
	"slices"
)

// Record is one record of a key.
type Record struct {
	Key string
	// Value is empty when the key was dropped.
	Value  []byte
	Offset uint64
}

// Dropped reports whether the record drops its key.
func (r Record) Dropped() bool { return len(r.Value) == 0 }

// Topic is the fold of one log. It is not safe for use by several goroutines.
type Topic struct {
	// records also holds the records that dropped a key, so that they can be
	// handed to another daemon.
	records map[string]Record
	// end is the offset up to which every record is known. It never falls.
	end uint64
	// floor is the offset from which every dropped key is known as well.
	floor uint64
}

// Extract is what one holder of a topic hands to another.
type Extract struct {
	Records []Record
	// End is the offset up to which the records are complete.
	End uint64
	// Whole is true when the records are those of all keys, so that a key
	// which is missing was dropped.
	Whole bool
}

// New returns a topic without records.
func New() *Topic { return &Topic{records: make(map[string]Record)} }

// End returns the offset up to which every record is known.
func (t *Topic) End() uint64 { return t.end }

// Merge takes in all records between the held end and a later one, and returns
// those that changed what is held.
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

// Replace takes in a listing of the newest record of every key, which holds at
// least everything before the offset end. Keys that it lacks were dropped.
func (t *Topic) Replace(listing []Record, end uint64) []Record {
	listed := make(map[string]bool, len(listing))
	for _, record := range listing {
		listed[record.Key] = true
	}
	var dropped []Record
	for key, held := range t.records {
		if !listed[key] && !held.Dropped() && held.Offset < end {
			dropped = append(dropped, Record{Key: key, Offset: end - 1})
		}
	}
	if t.end == 0 {
		t.floor = end
	}
	return t.Merge(append(dropped, listing...), end)
}

// Extract returns what another holder needs that knows every record up to an
// offset.
func (t *Topic) Extract(from uint64) Extract {
	if from < t.floor {
		return Extract{Records: t.live(), End: t.end, Whole: true}
	}
	return Extract{Records: t.Since(from), End: t.end}
}

// Take takes in what another holder extracted.
func (t *Topic) Take(extract Extract) []Record {
	if extract.Whole {
		return t.Replace(extract.Records, extract.End)
	}
	return t.Merge(extract.Records, extract.End)
}

// live returns the records of the keys that were not dropped.
func (t *Topic) live() []Record {
	return slices.DeleteFunc(t.Since(0), Record.Dropped)
}

// Since returns the records at or after an offset, in order.
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
