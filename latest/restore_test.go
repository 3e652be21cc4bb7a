package latest_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/cranberrywalk/cranberrywalk/latest"
)

// listing returns an extract that covers all keys of an epoch.
func listing(epoch, offset uint64, records ...latest.Record) latest.Extract {
	return latest.Extract{Records: records, End: latest.Position{Epoch: epoch, Offset: offset}, AllKeys: true}
}

func TestPositionsOfLaterEpochsComeLater(t *testing.T) {
	c := qt.New(t)
	c.Check(latest.Position{Epoch: 1, Offset: 90}.Before(latest.Position{Epoch: 2, Offset: 3}), qt.IsTrue)
	c.Check(latest.Position{Epoch: 2, Offset: 3}.Before(latest.Position{Epoch: 1, Offset: 90}), qt.IsFalse)
	c.Check(latest.Position{Epoch: 2, Offset: 3}.Compare(latest.Position{Epoch: 2, Offset: 3}), qt.Equals, 0)
}

// TestListingOfRestoredLog covers a log that comes back from an older copy: one key
// has an older value there, one is missing, one was deleted since and is back.
func TestListingOfRestoredLog(t *testing.T) {
	c := qt.New(t)
	topic := latest.New()
	topic.Apply(listing(1, 3, record("same", "1", 0), record("changed", "1", 1), record("deleted", "1", 2)))
	topic.Apply(latest.Extract{
		Records: []latest.Record{record("changed", "2", 3), record("new", "1", 4), {Key: "deleted", Offset: 5}},
		End:     latest.Position{Epoch: 1, Offset: 6},
	})

	changed := topic.Apply(listing(2, 3, record("same", "1", 0), record("changed", "1", 1), record("deleted", "1", 2)))

	c.Check(keyValues(changed), qt.DeepEquals, []string{"changed=1", "deleted=1", "new="})
	c.Check(topic.End(), qt.Equals, latest.Position{Epoch: 2, Offset: 3})
	c.Check(keyValues(topic.Since(0)), qt.DeepEquals, []string{"same=1", "changed=1", "deleted=1"})
}

func TestRecordsOfOtherEpochs(t *testing.T) {
	c := qt.New(t)
	topic := latest.New()
	topic.Apply(listing(2, 3, record("a", "2", 2)))
	before := topic.End()
	c.Check(topic.Apply(listing(1, 9, record("a", "1", 8))), qt.HasLen, 0, qt.Commentf("an earlier epoch"))
	c.Check(topic.Apply(latest.Extract{
		Records: []latest.Record{record("a", "3", 5)}, End: latest.Position{Epoch: 3, Offset: 6},
	}), qt.HasLen, 0, qt.Commentf("a part of a later epoch"))
	c.Check(topic.End(), qt.Equals, before)
	c.Check(topic.Extract(latest.Position{Epoch: 1, Offset: 9}).AllKeys, qt.IsTrue)
	c.Check(topic.Extract(latest.Position{Epoch: 3, Offset: 1}).AllKeys, qt.IsTrue)
}

// restorableLog is a log that is restored from copies of itself.
type restorableLog struct {
	epoch   uint64
	records []latest.Record
}

func (l *restorableLog) end() latest.Position {
	return latest.Position{Epoch: l.epoch, Offset: uint64(len(l.records))}
}

func (l *restorableLog) put(key, value string) {
	l.records = append(l.records, latest.Record{Key: key, Value: []byte(value), Offset: uint64(len(l.records))})
}

// newest returns the value of each key that is not deleted.
func (l *restorableLog) newest() map[string]string {
	values := make(map[string]string)
	for _, r := range l.records {
		if r.IsTombstone() {
			delete(values, r.Key)
			continue
		}
		values[r.Key] = string(r.Value)
	}
	return values
}

func (l *restorableLog) list() latest.Extract {
	records := make(map[string]latest.Record)
	for _, r := range l.records {
		records[r.Key] = r
	}
	extract := latest.Extract{End: l.end(), AllKeys: true}
	for _, r := range records {
		if !r.IsTombstone() {
			extract.Records = append(extract.Records, r)
		}
	}
	return extract
}

// read returns what a daemon gets that continues at a position.
func (l *restorableLog) read(from latest.Position) latest.Extract {
	if from.Epoch != l.epoch || from.Offset == 0 {
		return l.list()
	}
	return latest.Extract{Records: l.records[from.Offset:], End: l.end()}
}

// TestCopiesAgreeAfterRestores restores a log at random moments between writes, reads,
// exchanges between daemons and restarts of daemons. A copy never goes back to an
// earlier position, and all copies equal the log once they have read it.
func TestCopiesAgreeAfterRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := &restorableLog{epoch: 1}
		copied := 0
		topics := []*latest.Topic{latest.New(), latest.New(), latest.New()}
		apply := func(i int, extract latest.Extract) {
			before := topics[i].End()
			topics[i].Apply(extract)
			if topics[i].End().Before(before) {
				t.Fatalf("copy %d went back from %v to %v", i, before, topics[i].End())
			}
		}
		daemon := rapid.IntRange(0, len(topics)-1)
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := daemon.Draw(t, "daemon")
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1:
				log.put(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), fmt.Sprint(step))
			case 2:
				log.put(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), "")
			case 3, 4:
				apply(i, log.read(topics[i].End()))
			case 5:
				apply(i, topics[daemon.Draw(t, "other")].Extract(topics[i].End()))
			case 6:
				topics[i] = latest.New()
			case 7:
				if rapid.Bool().Draw(t, "copies") {
					copied = len(log.records)
					continue
				}
				log.records = log.records[:min(copied, len(log.records)):min(copied, len(log.records))]
				log.epoch++
			}
		}
		for i, topic := range topics {
			apply(i, log.read(topic.End()))
			held := make(map[string]string)
			for _, r := range topic.Extract(latest.Position{}).Records {
				if !r.IsTombstone() {
					held[r.Key] = string(r.Value)
				}
			}
			want := log.newest()
			if fmt.Sprint(held) != fmt.Sprint(want) {
				t.Fatalf("copy %d holds %v, the log %v", i, held, want)
			}
		}
	})
}
