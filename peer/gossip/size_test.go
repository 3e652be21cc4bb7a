package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/peer/gossip"
)

// BenchmarkSetVMs reports the time and the heap that one daemon uses for a list of
// 390 daemons and 1,500 runners in 14 zones of 6 regions.
func BenchmarkSetVMs(b *testing.B) {
	var vms []hosting.VM
	for i := range 1890 {
		vm := hosting.VM{
			Name: fmt.Sprint("vm-", i), Role: hosting.RoleRunner, Models: []string{"Small"},
			Region: fmt.Sprint("region-", i%14%6), Zone: fmt.Sprint("zone-", i%14),
		}
		if i < 390 {
			vm.Role = hosting.RoleEntry
		}
		vms = append(vms, vm)
	}
	identity := gossip.Identity{Daemon: "vm-0", Zone: "zone-0", Region: "region-0"}
	core := gossip.New(identity, rand.New(rand.NewPCG(1, 1)))
	before := heap()
	for b.Loop() {
		core.SetVMs(vms)
	}
	b.ReportMetric((float64(heap())-float64(before))/1024, "KiB-held")
	runtime.KeepAlive(core)
	runtime.KeepAlive(vms)
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
