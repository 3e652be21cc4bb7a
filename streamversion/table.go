package streamversion

import "time"

// Table holds the batches of records of all daemons. It is not safe for concurrent use.
type Table struct {
	batches map[string]batch
	// newest holds the record of each stream that holds.
	newest map[Stream]Record
}

// batch is a stored batch.
type batch struct {
	records []Record
	// since is when the batch was last changed, as seen here.
	since time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{batches: make(map[string]batch), newest: make(map[Stream]Record)}
}

// Put adds or replaces the batch of a key.
func (t *Table) Put(key string, records []Record, now time.Time) {
	t.batches[key] = batch{records: records, since: now}
	for _, record := range records {
		if held, found := t.newest[record.Stream]; !found || held.Number < record.Number {
			t.newest[record.Stream] = record
		}
	}
}

// Delete removes the batch of a key and the streams that it names.
func (t *Table) Delete(key string) {
	for _, record := range t.batches[key].records {
		if held, found := t.newest[record.Stream]; found && held.Number <= record.Number {
			delete(t.newest, record.Stream)
		}
	}
	delete(t.batches, key)
}

// Find returns the record of a stream that holds.
func (t *Table) Find(stream Stream) (Record, bool) {
	record, found := t.newest[stream]
	return record, found
}

// IsEmpty reports whether no stream has a record.
func (t *Table) IsEmpty() bool { return len(t.newest) == 0 }

// UnchangedSince returns the keys of the batches that have not changed since a time.
func (t *Table) UnchangedSince(since time.Time) []string {
	var keys []string
	for key, held := range t.batches {
		if held.since.Before(since) {
			keys = append(keys, key)
		}
	}
	return keys
}
