package fleet

import (
	"fmt"
	"strings"

	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// Daemon describes a daemon that is to be started.
type Daemon struct {
	Name string
	Zone string
	// Settings are further lines of the settings file, by section.
	Settings map[string][]string
	// Relayed puts relays before the daemon's peer listener and before the
	// platform as the daemon sees it. Relay returns them under the daemon's
	// name with PeerSide and PlatformSide.
	Relayed bool
	// Environment holds further variables, for example GOMAXPROCS=1.
	Environment []string
}

// StartDaemon starts a daemon, adds its VM to the VM list and returns it. A
// daemon of a known name is started again on the same addresses.
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
		if vm, err = f.listDaemon(d, vm); err != nil {
			return hosting.VM{}, err
		}
	}
	path, err := f.writeFile(d.Name+".ini", f.settingsFile(d, vm))
	if err != nil {
		return hosting.VM{}, err
	}
	_, err = f.run(d.Name, programDaemon, d.Environment, "serve", "--settings", path)
	return vm, err
}

// listDaemon puts a new daemon on the VM list, behind its relays if it has
// any, and notes where it listens for peers itself.
func (f *Fleet) listDaemon(d Daemon, vm hosting.VM) (hosting.VM, error) {
	f.setControl(d.Name+PeerSide, vm.PeerAddress)
	if d.Relayed {
		var err error
		if vm.PeerAddress, err = f.addRelay(d.Name+PeerSide, vm.PeerAddress); err != nil {
			return hosting.VM{}, err
		}
		address := strings.TrimPrefix(f.PlatformURL, "http://")
		if _, err = f.addRelay(d.Name+PlatformSide, address); err != nil {
			return hosting.VM{}, err
		}
	}
	return vm, f.AddVMs(vm)
}

// SettingsPath returns the settings file of a daemon that was started.
func (f *Fleet) SettingsPath(daemon string) string {
	return fmt.Sprintf("%s/%s.ini", f.options.Dir, daemon)
}

func (f *Fleet) settingsFile(d Daemon, vm hosting.VM) string {
	base := f.PlatformURL
	if r := f.Relay(d.Name + PlatformSide); r != nil {
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
	section("Peers", "Address = "+f.controlURL(d.Name+PeerSide))
	section("Admin", "Address = "+vm.AdminAddress)
	section("Platform", "Log = "+base, "VMList = "+base, "Cloud = "+base, "WeightStore = "+base)
	for _, name := range []string{"Claims", "Backends", "Retries", "Routing", "Orders", "Timeline"} {
		section(name)
	}
	return text.String()
}

func freeAddresses(n int) ([]string, error) {
	addresses := make([]string, 0, n)
	for len(addresses) < n {
		address, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}
