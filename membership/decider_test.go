package membership_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// deciders returns the daemons that say that they decide on a matter.
func deciders(daemons []*daemon, key string) []*daemon {
	var deciding []*daemon
	for _, d := range daemons {
		if d.group.Decides(key) {
			deciding = append(deciding, d)
		}
	}
	return deciding
}

func TestOneDaemonDecides(t *testing.T) {
	c := qt.New(t)
	first := start(c, "first", "zone-1")
	daemons := []*daemon{first, start(c, "second", "zone-1", first.member.Address), start(c, "third", "zone-2", first.member.Address)}
	agree := func(daemons []*daemon) bool {
		for matter := range 20 {
			if len(deciders(daemons, fmt.Sprint("matter-", matter))) != 1 {
				return false
			}
		}
		return true
	}
	eventually(c, "one daemon decides on each matter", func() bool { return agree(daemons) })
	counts := make(map[string]int)
	for matter := range 100 {
		for _, d := range deciders(daemons, fmt.Sprint("matter-", matter)) {
			counts[d.member.Name]++
		}
	}
	c.Check(counts, qt.HasLen, 3)
	daemons[2].stop()
	eventually(c, "the others decide when one is down", func() bool { return agree(daemons[:2]) })
}
