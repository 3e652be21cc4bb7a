package membership_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/fleet"
	"github.com/cranberrywalk/cranberrywalk/membership"
)

// settledOptions returns the options of a daemon that counts as new for a moment only.
func settledOptions(c *qt.C, name string, seeds ...string) membership.Options {
	address, err := fleet.FreeAddress()
	c.Assert(err, qt.IsNil)
	options := membership.DefaultOptions(membership.Member{
		Name: name, Address: address, Zone: "zone-1", Incarnation: "first",
	}, seeds)
	options.StartupPeriod = 10 * time.Millisecond
	return options
}

// TestFewDaemonsSendTheirStateToANewOne guards against a start that takes the whole link
// of its VM, since each of the other daemons sends all that it has collected.
func TestFewDaemonsSendTheirStateToANewOne(t *testing.T) {
	const others = 10
	c := qt.New(t)
	daemons := []*daemon{startWith(c, settledOptions(c, "0"))}
	seed := daemons[0].member.Address
	for i := 1; i < others; i++ {
		daemons = append(daemons, startWith(c, settledOptions(c, fmt.Sprint(i), seed)))
	}
	for _, d := range daemons {
		eventually(c, "the daemons to know each other", func() bool { return d.group.Size() == others })
	}
	before := settledStatesSent(c, daemons)
	options := settledOptions(c, "late", seed)
	options.StartupPeriod, options.Timeout = time.Minute, time.Minute
	late := startWith(c, options)
	for _, d := range daemons {
		eventually(c, "the new daemon to hear all others", func() bool { return late.handler.digestsFrom(d.member.Name) > 3 })
	}
	c.Check(statesSent(daemons)-before, qt.Equals, options.MaxStateReplies)
}

// settledStatesSent returns statesSent once it no longer rises: each daemon asks until it has
// collected state once.
func settledStatesSent(c *qt.C, daemons []*daemon) int {
	last, since := statesSent(daemons), time.Now()
	eventually(c, "all daemons to collect state", func() bool {
		if sent := statesSent(daemons); sent != last {
			last, since = sent, time.Now()
		}
		return time.Since(since) > 300*time.Millisecond
	})
	return last
}

// statesSent counts the digests with collected state that the daemons have sent.
func statesSent(daemons []*daemon) int {
	sent := 0
	for _, d := range daemons {
		d.handler.mutex.Lock()
		sent += d.handler.digestsToNew
		d.handler.mutex.Unlock()
	}
	return sent
}

// TestSeedIsFoundAfterTheStartupPeriod guards against daemons that never learn of the others
// since no seed has replied while they were new.
func TestSeedIsFoundAfterTheStartupPeriod(t *testing.T) {
	c := qt.New(t)
	options := settledOptions(c, "seed")
	lone := startWith(c, settledOptions(c, "lone", options.Self.Address))
	time.Sleep(200 * time.Millisecond)
	daemons := []*daemon{lone, startWith(c, options), startWith(c, settledOptions(c, "other", options.Self.Address))}
	for _, d := range daemons {
		eventually(c, "the daemons to know each other", func() bool { return d.group.Size() == len(daemons) })
	}
}
