package gossip_test

import (
	"fmt"
	"testing"
)

// BenchmarkAge reports the mean age of the loads that daemons hold of each other
// when every daemon's load changes in every round.
func BenchmarkAge(b *testing.B) {
	for _, daemons := range []int{7, 14, 28, 56} {
		b.Run(fmt.Sprintf("Daemons=%d", daemons), func(b *testing.B) {
			n := newNetwork(1, daemons, 1)
			total, count := 0.0, 0
			for round := 0; b.Loop(); round++ {
				for i, name := range n.names {
					n.setLoad(name, "R1", round*daemons+i)
				}
				n.step()
				if round < 40 {
					continue
				}
				for _, view := range n.views {
					for _, load := range view.loads {
						total += float64(n.now.UnixMilli()) - float64(load.Version)
						count++
					}
				}
			}
			b.ReportMetric(total/float64(count), "ms-old")
		})
	}
}
