package roster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/roster"
)

// largeList lists 1,500 runners with 10 models in 14 zones.
func largeList(version uint64) roster.Listed {
	var vms []hosting.VM
	for i := range 1500 {
		vms = append(vms, hosting.VM{
			Name: fmt.Sprint("runner-", i), Role: hosting.RoleRunner,
			Zone: fmt.Sprint("zone-", i%14), Models: []string{fmt.Sprint("model-", i%10)},
		})
	}
	return listed(version, vms...)
}

func BenchmarkApply(b *testing.B) {
	r, _ := roster.New().Apply(largeList(1), start)
	again := largeList(2)
	for _, scenario := range []struct {
		name  string
		event roster.Event
	}{
		{"Listed", again},
		{"Noticed", roster.Noticed{Notice: hosting.Notice{VM: "runner-7"}}},
		{"Failed", roster.Failed{VM: "runner-7"}},
		{"Succeeded", roster.Succeeded{VM: "runner-7"}},
	} {
		b.Run(scenario.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r.Apply(scenario.event, start)
			}
		})
	}
}

func BenchmarkRunners(b *testing.B) {
	r, _ := roster.New().Apply(largeList(1), start)
	b.ReportAllocs()
	for b.Loop() {
		r.Runners("model-3", start.Add(time.Second))
	}
}
