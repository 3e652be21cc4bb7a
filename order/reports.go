package order

import (
	"context"
	"sync"

	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// reportsAtOnce bounds the engines that are asked at the same time.
const reportsAtOnce = 16

// reports asks the engines for their loads. It needs no lease.
func (o *Order) reports(ctx context.Context, vms []hosting.VM) map[string]hosting.LoadReport {
	bounded, cancel := o.withTimeout(ctx, o.options.ReportTimeout)
	defer cancel()
	reports := make(map[string]hosting.LoadReport)
	places := make(chan struct{}, reportsAtOnce)
	var mu sync.Mutex
	var asked sync.WaitGroup
	for _, vm := range vms {
		if vm.Role != hosting.RoleRunner || vm.Leaving || vm.Address == "" {
			continue
		}
		places <- struct{}{}
		asked.Go(func() {
			defer func() { <-places }()
			report, err := o.engines(vm).Load(bounded)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			reports[vm.Name] = report
		})
	}
	asked.Wait()
	return reports
}
