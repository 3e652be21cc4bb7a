package gossip_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cranberrywalk/cranberrywalk/peer/gossip"
)

// TestFactsConvergeAfterRandomFaults draws partitions, lost and duplicated
// messages, restarts, pauses, and facts published in between. After the faults
// have ended, every daemon must hold the current facts of all others.
func TestFactsConvergeAfterRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.Uint64().Draw(t, "seed"), 6, 1)
		name := rapid.SampledFrom(n.names)
		t.Repeat(map[string]func(*rapid.T){
			"load": func(t *rapid.T) {
				n.setLoad(name.Draw(t, "daemon"), "R1", rapid.IntRange(1, 99).Draw(t, "load"))
			},
			"leaving": func(t *rapid.T) {
				n.own[name.Draw(t, "daemon")].Leaving = []gossip.Leaving{{VM: "R0"}}
			},
			"cut": func(t *rapid.T) {
				n.blocked = partition(rapid.Bool().Draw(t, "one way"), rapid.SliceOfN(name, 1, 3).Draw(t, "side")...)
			},
			"loss": func(t *rapid.T) {
				n.lossRate = rapid.Float64Range(0, 0.5).Draw(t, "lost")
				n.duplicationRate = rapid.Float64Range(0, 0.5).Draw(t, "doubled")
			},
			"restart": func(t *rapid.T) {
				restarted := name.Draw(t, "daemon")
				n.start(restarted, "Zone0")
				n.cores[restarted].SetVMs(n.vms)
			},
			"pause": func(t *rapid.T) {
				n.now = n.now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "seconds")) * time.Second)
			},
			"": func(*rapid.T) { n.step() },
		})
		n.blocked = func(string, string) bool { return false }
		n.lossRate, n.duplicationRate = 0, 0
		if n.stepsUntil(120, func() bool { return n.loadsAgree() && n.noticesAgree() }) == 120 {
			t.Fatalf("facts differ a minute after the faults have ended")
		}
		if n.regressions > 0 {
			t.Fatalf("%d loads were replaced by older ones", n.regressions)
		}
	})
}
