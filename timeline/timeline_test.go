package timeline_test

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
	"github.com/cranberrywalk/cranberrywalk/timeline"
)

var start = time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)

func newClock(now time.Time) (telemetry.Common, *timeline.Clock) {
	common := telemetry.NewCommon()
	common.Clock = clock.NewFake(now)
	return common, timeline.NewClock(common)
}

func TestReceivedStampsOrderLaterEvents(t *testing.T) {
	c := qt.New(t)
	_, behind := newClock(start)
	_, ahead := newClock(start.Add(2 * time.Second))

	cause := ahead.Now()
	behind.Observe(cause)
	effect := behind.Now()

	c.Assert(cause.Before(effect), qt.IsTrue)
	c.Assert(effect.Before(behind.Now()), qt.IsTrue)
}

func TestStampFarAheadIsBounded(t *testing.T) {
	c := qt.New(t)
	common, bounded := newClock(start)

	bounded.Observe(timeline.Stamp{Wall: start.Add(time.Hour).UnixMilli()})

	c.Assert(bounded.Now().Wall, qt.Equals, start.Add(timeline.MaxAhead).UnixMilli())
	c.Assert(common.Metrics.Get(timeline.CounterClamped), qt.Not(qt.IsNil))
}

func TestLogOverwritesOldest(t *testing.T) {
	c := qt.New(t)
	common, hybrid := newClock(start)
	log := timeline.NewLog(common, hybrid, "Entry1", "ZoneA", 2)

	for _, kind := range []string{"One", "Two", "Three"} {
		log.Record(telemetry.Event{Kind: kind})
	}

	entries := log.Entries()
	c.Assert(entries, qt.HasLen, 2)
	c.Assert(entries[0].Event.Kind, qt.Equals, "Two")
	c.Assert(entries[1].Event.Kind, qt.Equals, "Three")
	c.Assert(log.Dropped(), qt.Equals, uint64(1))
}

func TestMergeFilterAndRender(t *testing.T) {
	c := qt.New(t)
	common, first := newClock(start)
	_, second := newClock(start.Add(-time.Second))
	sender := timeline.NewLog(common, first, "Entry1", "ZoneA", 8)
	receiver := timeline.NewLog(common, second, "Entry2", "ZoneB", 8)

	sender.Record(telemetry.Event{Kind: "Sent", Request: "R1", Detail: "to Entry2"})
	second.Observe(first.Now())
	receiver.Record(telemetry.Event{Kind: "Received", Request: "R1"})
	receiver.Record(telemetry.Event{Kind: "Other", Request: "R2"})
	merged := timeline.Merge(receiver.Entries(), sender.Entries(), sender.Entries())
	selected := timeline.Filter{Request: "R1"}.Apply(merged)

	c.Assert(merged, qt.HasLen, 3)
	c.Assert(selected, qt.HasLen, 2)
	c.Assert(selected[0].Event.Kind, qt.Equals, "Sent")

	var lines, text bytes.Buffer
	c.Assert(timeline.WriteLines(&lines, merged), qt.IsNil)
	read, err := timeline.ReadLines(&lines)
	c.Assert(err, qt.IsNil)
	c.Assert(read, qt.DeepEquals, merged)
	c.Assert(timeline.WriteText(&text, selected[:1]), qt.IsNil)
	c.Assert(text.String(), qt.Equals,
		"2026-03-01T06:00:00.000Z.0000 Entry1           ZoneA        Sent Request=R1 Detail=\"to Entry2\"\n")
}

func TestReadLinesNamesTheFaultyLine(t *testing.T) {
	c := qt.New(t)
	_, err := timeline.ReadLines(bytes.NewBufferString("{}\n{\n"))
	var fault *timeline.LineError
	c.Assert(err, qt.ErrorAs, &fault)
	c.Assert(fault.Number, qt.Equals, 2)
}
