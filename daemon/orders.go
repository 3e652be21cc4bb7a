package daemon

import (
	"net/http"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/hostinghttp"
	"github.com/cranberrywalk/cranberrywalk/order"
	"github.com/cranberrywalk/cranberrywalk/placement"
	"github.com/cranberrywalk/cranberrywalk/roster"
	"github.com/cranberrywalk/cranberrywalk/settings"
)

// addOrders adds the replacement of lost VMs, a singleton duty: the one daemon of
// the region that holds the lease performs it.
func (d *Daemon) addOrders(log hosting.Log, client *http.Client) {
	s := d.settings
	if s.Orders.Mode == settings.OrdersOff {
		return
	}
	options := order.DefaultOptions()
	options.Stream = s.Orders.Stream
	options.Duty = "Orders/" + s.Daemon.Region
	options.Daemon = s.Daemon.Name
	options.Incarnation = d.incarnation
	options.Lease.Duration = s.Orders.Lease
	options.Lease.Margin = s.Orders.Margin
	options.RenewInterval = s.Orders.Renewal
	options.RoundInterval = s.Orders.Interval
	options.AppendTimeout = s.Platform.Timeout
	options.ReadWait = s.Platform.LongPoll
	cloud := hostinghttp.NewCloud(s.Platform.Cloud, client)
	weights := hostinghttp.NewWeightStore(s.Platform.WeightStore, client)
	engines := func(vm hosting.VM) hosting.Engine { return hostinghttp.NewEngine("http://"+vm.Address, client) }
	d.orders = order.New(d.Common, options, log, cloud, weights, engines, d.placementInputs)
}

// placementInputs returns the VMs, allowances and offers of the region. It leaves
// out the demand, so that the number of runners of each model stays the same and
// each lost VM is replaced by one VM.
func (d *Daemon) placementInputs() placement.Inputs {
	state, ready := d.configuration.State()
	if !ready {
		return placement.Inputs{}
	}
	var vms []hosting.VM
	for _, member := range d.rosterWatcher.Roster().Backends() {
		vm := member.VM
		if vm.Region != d.settings.Daemon.Region {
			continue
		}
		vm.Leaving = member.State == roster.Leaving
		vms = append(vms, vm)
	}
	return placement.Inputs{VMs: vms, Allowances: state.Allowances(), Offers: placement.OffersOf(vms)}
}
