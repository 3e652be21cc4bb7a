package entry

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

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
