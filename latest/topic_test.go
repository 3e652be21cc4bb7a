package latest_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/latest"
)

func record(key, value string, offset uint64) latest.Record {
	return latest.Record{Key: key, Value: []byte(value), Offset: offset}
}

func end(offset uint64) latest.Position { return latest.Position{Offset: offset} }

// merge applies records that are complete from the topic's end to an offset.
func merge(topic *latest.Topic, records []latest.Record, offset uint64) []latest.Record {
	return topic.Apply(latest.Extract{Records: records, End: end(offset)})
}

// replace applies a listing of all keys.
func replace(topic *latest.Topic, listing []latest.Record, offset uint64) []latest.Record {
	return topic.Apply(latest.Extract{Records: listing, End: end(offset), AllKeys: true})
}

func keyValues(records []latest.Record) []string {
	var pairs []string
	for _, r := range records {
		pairs = append(pairs, r.Key+"="+string(r.Value))
	}
	return pairs
}

func TestOlderRecordsAreIgnored(t *testing.T) {
	c := qt.New(t)
	topic := latest.New()
	c.Check(keyValues(merge(topic, []latest.Record{record("a", "2", 5)}, 6)), qt.DeepEquals, []string{"a=2"})
	c.Check(merge(topic, []latest.Record{record("a", "1", 3)}, 4), qt.HasLen, 0)
	c.Check(topic.End(), qt.Equals, end(6))
	c.Check(keyValues(topic.Since(0)), qt.DeepEquals, []string{"a=2"})
}

// TestListingAfterGap covers a store that no longer retains the records after the
// topic's end. A key that the listing lacks was deleted in the gap; a record
// newer than the listing must stay.
func TestListingAfterGap(t *testing.T) {
	c := qt.New(t)
	topic := latest.New()
	merge(topic, []latest.Record{record("stays", "1", 0), record("dropped", "1", 1)}, 2)
	merge(topic, []latest.Record{record("newer", "1", 20)}, 21)

	changed := replace(topic, []latest.Record{record("stays", "1", 0), record("came", "1", 15)}, 18)

	c.Check(keyValues(changed), qt.DeepEquals, []string{"dropped=", "came=1"})
	c.Check(keyValues(topic.Since(0)), qt.DeepEquals, []string{"stays=1", "came=1", "dropped=", "newer=1"})
	c.Check(topic.End(), qt.Equals, end(21))
}

func TestTombstonesAreReturned(t *testing.T) {
	c := qt.New(t)
	topic := latest.New()
	merge(topic, []latest.Record{record("a", "1", 0), {Key: "a", Offset: 1}}, 2)
	since := topic.Since(1)
	c.Assert(since, qt.HasLen, 1)
	c.Check(since[0].IsTombstone(), qt.IsTrue)
	c.Check(topic.Since(2), qt.HasLen, 0)
}

// TestExtractOfRestartedDaemonCoversAllKeys covers a daemon that missed the deletion
// of a key and reads from another one that has restarted and lacks older tombstones.
func TestExtractOfRestartedDaemonCoversAllKeys(t *testing.T) {
	c := qt.New(t)
	running := latest.New()
	replace(running, []latest.Record{record("stays", "1", 0), record("dropped", "1", 1)}, 2)
	restarted := latest.New()
	replace(restarted, []latest.Record{record("stays", "1", 0), record("came", "1", 3)}, 4)

	changed := running.Apply(restarted.Extract(running.End()))

	c.Check(keyValues(changed), qt.DeepEquals, []string{"dropped=", "came=1"})
	c.Check(running.Extract(end(2)).AllKeys, qt.IsFalse)
	c.Check(keyValues(running.Extract(end(2)).Records), qt.DeepEquals, []string{"came=1", "dropped="})
}
