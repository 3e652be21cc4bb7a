package fleet

import (
	"net/http"

	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// Backend describes a backend server to start.
type Backend struct {
	Name        string
	Zone        string
	Class       string
	Reclaimable bool
	Price       float64
	// Model is the model of a runner; empty for a plain service.
	Model string
	// Service is the name of a plain service; empty for a runner.
	Service string
	// Flags are additional flags of the stand-in.
	Flags []string
	// Relayed puts a relay in front of the backend server; Relay returns it.
	Relayed bool
}

// StartBackend starts the stand-in of a backend server and adds its VM to the
// VM list.
func (f *Fleet) StartBackend(b Backend) (hosting.VM, error) {
	address, err := FreeAddress()
	if err != nil {
		return hosting.VM{}, err
	}
	vm := hosting.VM{
		Name: b.Name, Region: f.options.Region, Zone: b.Zone, Class: b.Class,
		Reclaimable: b.Reclaimable, Price: b.Price, Address: address,
	}
	flags := []string{"engine", "--address", address, "--models", b.Model}
	vm.Role = hosting.RoleRunner
	vm.Models = []string{b.Model}
	if b.Service != "" {
		flags = []string{"service", "--address", address, "--name", b.Service}
		vm.Role = hosting.RoleService
		vm.Models = nil
		vm.Service = b.Service
	}
	if _, err := f.run(b.Name, "standin", nil, append(flags, b.Flags...)...); err != nil {
		return hosting.VM{}, err
	}
	f.setEndpoint(b.Name, "http://"+address)
	if b.Relayed {
		if vm.Address, err = f.addRelay(b.Name, address); err != nil {
			return hosting.VM{}, err
		}
	}
	return vm, f.AddVMs(vm)
}

// StartSpare starts the stand-in of a model engine. The next VM that the cloud API is
// asked to start is assigned the address of this engine.
func (f *Fleet) StartSpare(name, model string) error {
	address, err := FreeAddress()
	if err != nil {
		return err
	}
	if _, err := f.run(name, "standin", nil, "engine", "--address", address, "--models", model); err != nil {
		return err
	}
	spares := struct{ Addresses []string }{Addresses: []string{address}}
	return RequestJSON(http.MethodPut, f.PlatformURL+"/spares", spares, nil)
}

// AddVMs adds VMs to the VM list. It starts no processes.
func (f *Fleet) AddVMs(vms ...hosting.VM) error {
	f.mu.Lock()
	f.vms = append(f.vms, vms...)
	f.mu.Unlock()
	return f.putVMs()
}

// RemoveVM removes a VM from the VM list.
func (f *Fleet) RemoveVM(name string) error {
	f.mu.Lock()
	var kept []hosting.VM
	for _, vm := range f.vms {
		if vm.Name != name {
			kept = append(kept, vm)
		}
	}
	f.vms = kept
	f.mu.Unlock()
	return f.putVMs()
}

// VM returns an entry of the VM list.
func (f *Fleet) VM(name string) (hosting.VM, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, vm := range f.vms {
		if vm.Name == name {
			return vm, true
		}
	}
	return hosting.VM{}, false
}
