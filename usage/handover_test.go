package usage_test

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/usage"
)

// Guards against counts that are lost when their process stops, and against counts that
// are added twice because a peer has told them too.
func TestHandoverKeepsCountsOfStoppedProcess(t *testing.T) {
	c := qt.New(t)
	stopped, fresh := usage.New(5*time.Second, 4), usage.New(5*time.Second, 4)
	for range 7 {
		stopped.RecordRequest("library", start)
	}
	content, err := usage.EncodeHandover(usage.ProcessCounts{Process: "a/1", Counts: stopped.OwnCounts(0)})
	c.Assert(err, qt.IsNil)
	fresh.Merge("a/1", []usage.Count{{Window: 200, Customer: "library", Requests: 5}})
	for range 2 {
		handover, err := usage.DecodeHandover(3, content)
		c.Assert(err, qt.IsNil)
		fresh.Merge(handover.Process, handover.Counts)
	}
	c.Check(fresh.Total(200), qt.DeepEquals, map[string]int64{"library": 7})
}

// Guards against a handover of another writer that is taken for counts.
func TestUnreadableHandoverIsAnError(t *testing.T) {
	c := qt.New(t)
	_, err := usage.DecodeHandover(3, []byte("text"))
	var unreadable *usage.HandoverError
	c.Assert(errors.As(err, &unreadable), qt.IsTrue)
	c.Check(unreadable.Offset, qt.Equals, uint64(3))
}
