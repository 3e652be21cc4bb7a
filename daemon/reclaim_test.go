package daemon

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/roster"
	"github.com/cranberrywalk/cranberrywalk/settings"
)

// TestSecondNoticeOfReclaim covers a VM whose reclaim is reported twice, by the cloud and
// by the VM list.
func TestSecondNoticeOfReclaim(t *testing.T) {
	c := qt.New(t)
	d := &Daemon{reclaimed: make(chan struct{}), settings: settings.Settings{Daemon: settings.Daemon{Name: "entry-1"}}}
	for range 2 {
		d.onVMLeaving(roster.Effect{Kind: roster.BecameLeaving, VM: hosting.VM{Name: "entry-1"}})
	}
	_, open := <-d.reclaimed
	c.Check(open, qt.IsFalse)
}
