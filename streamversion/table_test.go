package streamversion_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/streamversion"
)

func TestNewestRecordOfAStreamHolds(t *testing.T) {
	c := qt.New(t)
	table := streamversion.NewTable()
	c.Check(table.IsEmpty(), qt.IsTrue)
	second := streamversion.Record{Stream: 1, Number: 2, Version: "v1"}
	table.Put("b", []streamversion.Record{second}, start)
	table.Put("a", []streamversion.Record{{Stream: 1, Number: 1, Version: "v1.1"}}, start.Add(time.Second))
	found, hasRecord := table.Find(1)
	c.Check(hasRecord, qt.IsTrue)
	c.Check(found, qt.Equals, second, qt.Commentf("an older record that arrives late changes nothing"))
	c.Check(table.UnchangedSince(start.Add(time.Second)), qt.DeepEquals, []string{"b"})
	table.Delete("a")
	_, hasRecord = table.Find(1)
	c.Check(hasRecord, qt.IsTrue)
	table.Delete("b")
	_, hasRecord = table.Find(1)
	c.Check(hasRecord, qt.IsFalse)
	c.Check(table.IsEmpty(), qt.IsTrue)
}

func TestStreamsOfOthersDiffer(t *testing.T) {
	c := qt.New(t)
	stream := streamversion.StreamOf("desk", "library", "a")
	c.Check(stream, qt.Equals, streamversion.StreamOf("desk", "library", "a"))
	for _, other := range []streamversion.Stream{
		streamversion.StreamOf("desk", "school", "a"), streamversion.StreamOf("talk", "library", "a"),
		streamversion.StreamOf("desk", "library", "b"), streamversion.StreamOf("desk", "librarya", ""),
	} {
		c.Check(other, qt.Not(qt.Equals), stream)
	}
}

func TestEncodedBatchAndRule(t *testing.T) {
	c := qt.New(t)
	records := []streamversion.Record{{Stream: 1 << 63, Number: 1, Version: "v1.1"}, {Stream: 2, Number: 3, Version: ""}}
	content, err := streamversion.EncodeBatch(records)
	c.Assert(err, qt.IsNil)
	c.Check(len(content) < 24, qt.IsTrue, qt.Commentf("%d bytes", len(content)))
	decoded, err := streamversion.DecodeBatch(content)
	c.Assert(err, qt.IsNil)
	c.Check(decoded, qt.DeepEquals, records)

	rule := streamversion.Rule{Default: "v1", RecordsAll: true, Generation: 4, Epoch: 2}
	content, err = rule.Encode()
	c.Assert(err, qt.IsNil)
	decodedRule, err := streamversion.DecodeRule(content)
	c.Assert(err, qt.IsNil)
	c.Check(decodedRule, qt.Equals, rule)

	for _, broken := range [][]byte{nil, []byte("x"), {0xdd, 0xff, 0xff, 0xff, 0xff}} {
		_, err := streamversion.DecodeBatch(broken)
		c.Check(err, qt.ErrorMatches, "decode batch of streams: .*")
	}
	_, err = streamversion.DecodeRule([]byte("x"))
	c.Check(err, qt.ErrorMatches, "decode rule of streams: .*")
}
