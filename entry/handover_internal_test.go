package entry

import (
	"context"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"github.com/cranberrywalk/cranberrywalk/membership"
	"github.com/cranberrywalk/cranberrywalk/platform"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// TestFinalDigestEndsWaitForCounts guards against reports that wait for counts of a process
// that has told its last ones.
func TestFinalDigestEndsWaitForCounts(t *testing.T) {
	for name, isFinal := range map[string]bool{"final digest": true, "another digest": false} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			common := telemetry.NewCommon()
			common.Log = logr.Discard()
			stopped := New(common, platform.Settings{Name: "entry-1"})
			other := New(common, platform.Settings{Name: "entry-2"})
			if isFinal {
				stopped.handOver(context.Background())
			}
			digest := peerHandler{stopped}.Digest(false)
			digest.Sender = membership.Member{Name: "entry-1", Incarnation: "1"}
			peerHandler{other}.ApplyDigest(digest, time.Millisecond)
			window := other.usage.Window(time.Now())
			c.Check(other.usage.HasOutstanding(window), qt.Equals, !isFinal)
		})
	}
}

// TestStopLogsCountsThatItCouldNotStore guards against counts that are lost without a trace
// when the store is away.
func TestStopLogsCountsThatItCouldNotStore(t *testing.T) {
	c := qt.New(t)
	var lines []string
	common := telemetry.NewCommon()
	common.Log = funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{})
	stopped := New(common, platform.Settings{Name: "entry-1", StoreAddress: "127.0.0.1:1", HasUsageDuty: true})
	stopped.usage.RecordRequest("library", time.Now())
	ctx, cancel := context.WithTimeout(context.Background(), handoverTime)
	defer cancel()
	stopped.handOver(ctx)
	c.Assert(lines, qt.HasLen, 1)
	c.Check(strings.Contains(lines[0], "CountsNotStored"), qt.IsTrue, qt.Commentf("%s", lines[0]))
	c.Check(strings.Contains(lines[0], "library"), qt.IsTrue, qt.Commentf("%s", lines[0]))
}
