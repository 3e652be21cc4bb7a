package fleet

import (
	"fmt"
	"strings"

	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// Daemon describes a daemon to start.
type Daemon struct {
	Name string
	Zone string
	// Settings are additional lines of the settings file, by section.
	Settings map[string][]string
	// Relayed puts one relay in front of the daemon's peer listener and one
	// between the daemon and the platform. Relay returns them under the daemon's
	// name with PeerRelaySuffix and PlatformRelaySuffix.
	Relayed bool
	// Environment holds additional variables, for example GOMAXPROCS=1.
	Environment []string
}

// StartDaemon starts a daemon, adds its VM to the VM list and returns the VM. A
// daemon whose name is on the VM list is started again on the same addresses.
func (f *Fleet) StartDaemon(d Daemon) (hosting.VM, error) {
	vm, known := f.VM(d.Name)
	if !known {
		addresses, err := freeAddresses(3)
		if err != nil {
			return hosting.VM{}, err
		}
		vm = hosting.VM{
			Name: d.Name, Role: hosting.RoleEntry, Region: f.options.Region, Zone: d.Zone,
			Address: addresses[0], PeerAddress: addresses[1], AdminAddress: addresses[2],
		}
		if vm, err = f.registerDaemon(d, vm); err != nil {
			return hosting.VM{}, err
		}
	}
	path, err := f.writeFile(d.Name+".ini", f.settingsFile(d, vm))
	if err != nil {
		return hosting.VM{}, err
	}
	_, err = f.run(d.Name, daemonProgram, d.Environment, "serve", "--settings", path)
	return vm, err
}

// registerDaemon adds the VM of a new daemon to the VM list and returns the VM. A
// relayed daemon is listed with the address of its peer relay; the address on which
// the daemon itself listens for peers is stored in endpoints.
func (f *Fleet) registerDaemon(d Daemon, vm hosting.VM) (hosting.VM, error) {
	f.setEndpoint(d.Name+PeerRelaySuffix, vm.PeerAddress)
	if d.Relayed {
		var err error
		if vm.PeerAddress, err = f.addRelay(d.Name+PeerRelaySuffix, vm.PeerAddress); err != nil {
			return hosting.VM{}, err
		}
		address := strings.TrimPrefix(f.PlatformURL, "http://")
		if _, err = f.addRelay(d.Name+PlatformRelaySuffix, address); err != nil {
			return hosting.VM{}, err
		}
	}
	return vm, f.AddVMs(vm)
}

// SettingsPath returns the path of the settings file of a daemon.
func (f *Fleet) SettingsPath(daemon string) string {
	return fmt.Sprintf("%s/%s.ini", f.options.Dir, daemon)
}

func (f *Fleet) settingsFile(d Daemon, vm hosting.VM) string {
	base := f.PlatformURL
	if r := f.Relay(d.Name + PlatformRelaySuffix); r != nil {
		base = "http://" + r.Address()
	}
	var text strings.Builder
	section := func(name string, lines ...string) {
		fmt.Fprintf(&text, "[%s]\n", name)
		for _, line := range append(lines, d.Settings[name]...) {
			fmt.Fprintln(&text, line)
		}
		fmt.Fprintln(&text)
	}
	section("Daemon", "Name = "+vm.Name, "Region = "+vm.Region, "Zone = "+vm.Zone)
	section("Callers", "Address = "+vm.Address)
	section("Peers", "Address = "+f.endpoint(d.Name+PeerRelaySuffix))
	section("Admin", "Address = "+vm.AdminAddress)
	section("Platform", "Log = "+base, "VMList = "+base, "Cloud = "+base, "WeightStore = "+base)
	for _, name := range []string{"Claims", "Backends", "Retries", "Routing", "Orders", "Timeline"} {
		section(name)
	}
	return text.String()
}

func freeAddresses(count int) ([]string, error) {
	addresses := make([]string, 0, count)
	for len(addresses) < count {
		address, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}
