package cloud

import (
	"fmt"
	"net/http"
	"slices"

	"github.com/go-chi/chi/v5"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/standin"
)

// replaceSpares sets the addresses of running processes that stand in for VMs
// started later. It is part of the control interface.
func (c *Cloud) replaceSpares(w http.ResponseWriter, r *http.Request) {
	var request struct{ Addresses []string }
	if !standin.DecodeStrictly(w, r, &request) {
		return
	}
	c.mu.Lock()
	c.spares = request.Addresses
	c.mu.Unlock()
	standin.Respond(w, http.StatusOK, struct{}{})
}

// startVM adds a VM to the VM list. The VM gets the next spare address, or none
// when no spare is left.
func (c *Cloud) startVM(w http.ResponseWriter, r *http.Request) {
	var request hosting.StartRequest
	if !standin.Decode(w, r, &request) {
		return
	}
	refused := c.faults.Get().RefuseStarts
	if slices.Contains(refused, "*") || slices.Contains(refused, request.Zone) {
		http.Error(w, "no capacity", http.StatusConflict)
		return
	}
	vm, isNew := c.findOrCreateVM(request)
	if isNew {
		c.updateList(func(vms []hosting.VM) []hosting.VM { return append(vms, vm) })
	}
	standin.Respond(w, http.StatusOK, vm)
}

// findOrCreateVM returns the VM that was started for the request's Identity, or a
// new VM. It also returns whether the VM is new.
func (c *Cloud) findOrCreateVM(request hosting.StartRequest) (hosting.VM, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if vm, ok := c.started[request.Identity]; ok && request.Identity != "" {
		return vm, false
	}
	number := len(c.started) + 1
	vm := hosting.VM{
		Name:        fmt.Sprintf("started-%d", number),
		Role:        request.Role,
		Region:      c.regionOf(request.Zone),
		Zone:        request.Zone,
		Class:       request.Class,
		Reclaimable: request.Reclaimable,
		Price:       c.price(request),
		Models:      request.Models,
		Service:     request.Service,
	}
	if len(c.spares) > 0 {
		vm.Address = c.spares[0]
		c.spares = c.spares[1:]
	}
	identity := request.Identity
	if identity == "" {
		identity = vm.Name
	}
	c.started[identity] = vm
	return vm, true
}

// price returns the price per hour of the requested VM.
func (c *Cloud) price(request hosting.StartRequest) float64 {
	price := c.parameters.OnDemandPrice
	if request.Reclaimable {
		price = c.parameters.ReclaimablePrice
	}
	if factor, ok := c.parameters.ZoneFactors[request.Zone]; ok {
		price *= factor
	}
	return price
}

// stopVM removes a VM from the VM list.
func (c *Cloud) stopVM(w http.ResponseWriter, r *http.Request) {
	name := chi.URLParam(r, "Name")
	c.updateList(func(vms []hosting.VM) []hosting.VM {
		return slices.DeleteFunc(vms, func(vm hosting.VM) bool { return vm.Name == name })
	})
	standin.Respond(w, http.StatusOK, struct{}{})
}

// regionOf returns the region of a listed VM in the zone, or "" when the zone has no
// listed VM. The caller holds mu.
func (c *Cloud) regionOf(zone string) string {
	for _, vm := range c.versions[len(c.versions)-1].snapshot.VMs {
		if vm.Zone == zone {
			return vm.Region
		}
	}
	return ""
}
