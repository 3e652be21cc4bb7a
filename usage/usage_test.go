package usage_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/usage"
)

var start = time.Unix(1000, 0)

func TestTotalKeepsCountsOfStoppedProcesses(t *testing.T) {
	c := qt.New(t)
	counter := usage.New(5*time.Second, 4)
	counter.RecordRequest("library", start)
	first := []usage.Count{{Window: 200, Customer: "library", Requests: 3}}
	counter.Merge("b/first", first)
	counter.Merge("b/first", first)
	counter.Merge("b/second", []usage.Count{{Window: 200, Customer: "library", Requests: 2}})
	c.Check(counter.Total(200), qt.DeepEquals, map[string]int64{"library": 6})
	c.Check(counter.Total(201), qt.DeepEquals, map[string]int64{})
}

func TestStaleReportChangesNothing(t *testing.T) {
	c := qt.New(t)
	counter := usage.New(5*time.Second, 4)
	counter.Merge("b", []usage.Count{{Window: 200, Customer: "library", Requests: 5}})
	counter.Merge("b", []usage.Count{{Window: 200, Customer: "library", Requests: 4}})
	c.Check(counter.Total(200), qt.DeepEquals, map[string]int64{"library": 5})
}

func TestOldWindowsAreDropped(t *testing.T) {
	c := qt.New(t)
	counter := usage.New(5*time.Second, 2)
	for i := range 10 {
		counter.RecordRequest("library", start.Add(time.Duration(i)*5*time.Second))
	}
	c.Check(counter.OwnCounts(0), qt.HasLen, 3)
	c.Check(counter.End(counter.Window(start)), qt.Equals, start.Add(5*time.Second))
}

// A daemon starts after another process has stopped, and must get the counts of that
// process from a third one.
func TestNewDaemonLearnsCountsOfStoppedProcess(t *testing.T) {
	c := qt.New(t)
	third, fresh := usage.New(5*time.Second, 4), usage.New(5*time.Second, 4)
	third.Merge("dead", []usage.Count{{Window: 200, Customer: "library", Requests: 7}, {Window: 190, Customer: "library", Requests: 1}})
	for _, reported := range third.PeerCounts(199) {
		fresh.Merge(reported.Process, reported.Counts)
	}
	c.Check(fresh.Total(200), qt.DeepEquals, map[string]int64{"library": 7})
	c.Check(fresh.Total(190), qt.DeepEquals, map[string]int64{})
}
