package latest_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/latest"
)

func record(key, value string, offset uint64) latest.Record {
	return latest.Record{Key: key, Value: []byte(value), Offset: offset}
}

func keys(records []latest.Record) []string {
	var names []string
	for _, r := range records {
		names = append(names, r.Key+"="+string(r.Value))
	}
	return names
}

func TestOlderRecordsChangeNothing(t *testing.T) {
	c := qt.New(t)
	topic := latest.New()
	c.Check(keys(topic.Merge([]latest.Record{record("a", "2", 5)}, 6)), qt.DeepEquals, []string{"a=2"})
	c.Check(topic.Merge([]latest.Record{record("a", "1", 3)}, 4), qt.HasLen, 0)
	c.Check(topic.End(), qt.Equals, uint64(6))
	c.Check(keys(topic.Since(0)), qt.DeepEquals, []string{"a=2"})
}

// TestListingAfterAGap is a store that has forgotten its history: what the
// listing lacks was dropped in the gap, and nothing else is lost.
func TestListingAfterAGap(t *testing.T) {
	c := qt.New(t)
	topic := latest.New()
	topic.Merge([]latest.Record{record("stays", "1", 0), record("dropped", "1", 1)}, 2)
	topic.Merge([]latest.Record{record("newer", "1", 20)}, 21)

	changed := topic.Replace([]latest.Record{record("stays", "1", 0), record("came", "1", 15)}, 18)

	c.Check(keys(changed), qt.DeepEquals, []string{"dropped=", "came=1"})
	c.Check(keys(topic.Since(0)), qt.DeepEquals, []string{"stays=1", "came=1", "dropped=", "newer=1"})
	c.Check(topic.End(), qt.Equals, uint64(21))
}

func TestDroppedKeysAreToldToOthers(t *testing.T) {
	c := qt.New(t)
	topic := latest.New()
	topic.Merge([]latest.Record{record("a", "1", 0), {Key: "a", Offset: 1}}, 2)
	since := topic.Since(1)
	c.Assert(since, qt.HasLen, 1)
	c.Check(since[0].Dropped(), qt.IsTrue)
	c.Check(topic.Since(2), qt.HasLen, 0)
}

// TestHolderThatBeganLaterDoesNotKnowWhatWasDropped is a daemon that started
// anew and is read by one that missed the drop of a key.
func TestHolderThatBeganLaterDoesNotKnowWhatWasDropped(t *testing.T) {
	c := qt.New(t)
	older := latest.New()
	older.Replace([]latest.Record{record("stays", "1", 0), record("dropped", "1", 1)}, 2)
	younger := latest.New()
	younger.Replace([]latest.Record{record("stays", "1", 0), record("came", "1", 3)}, 4)

	changed := older.Take(younger.Extract(older.End()))

	c.Check(keys(changed), qt.DeepEquals, []string{"dropped=", "came=1"})
	c.Check(older.Extract(2).Whole, qt.IsFalse)
	c.Check(keys(older.Extract(2).Records), qt.DeepEquals, []string{"came=1", "dropped="})
}
