package order

import (
	"context"
	"sync"

	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// maxConcurrentReports bounds the number of concurrent requests for load reports.
const maxConcurrentReports = 16

// loadReports fetches the load reports of the engines. It needs no lease.
func (c *Controller) loadReports(ctx context.Context, vms []hosting.VM) map[string]hosting.LoadReport {
	bounded, cancel := c.withTimeout(ctx, c.options.ReportTimeout)
	defer cancel()
	reports := make(map[string]hosting.LoadReport)
	slots := make(chan struct{}, maxConcurrentReports)
	var mu sync.Mutex
	var requests sync.WaitGroup
	for _, vm := range vms {
		if vm.Role != hosting.RoleRunner || vm.Leaving || vm.Address == "" {
			continue
		}
		slots <- struct{}{}
		requests.Go(func() {
			defer func() { <-slots }()
			report, err := c.engines(vm).Load(bounded)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			reports[vm.Name] = report
		})
	}
	requests.Wait()
	return reports
}
