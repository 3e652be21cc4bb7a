package e2e

import (
	"net/http"
	"path/filepath"
	"strings"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/fleet"
	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/prefix"
	"github.com/cranberrywalk/cranberrywalk/roster"
	"github.com/cranberrywalk/cranberrywalk/standin/engine"
	"github.com/cranberrywalk/cranberrywalk/standin/logservice"
	"github.com/cranberrywalk/cranberrywalk/standin/relay"
)

// The region and the zones of the VMs, and the model and the service that the
// allowances of the demonstration grant to its plan.
const (
	Region  = "mn-central"
	ZoneA   = "mn-central-a"
	ZoneB   = "mn-central-b"
	Model   = "teaching-documents"
	Service = "placements"
)

const (
	customerKey = "demo-key"
	listsDir    = "../examples/demo/"
	// awaitTimeout bounds every wait for an expected event. It is not a target.
	awaitTimeout = 30 * time.Second
)

// Driver runs one scenario. Its methods fail the test when a step fails.
type Driver struct {
	*qt.C
	Fleet   *fleet.Fleet
	daemons map[string]hosting.VM
}

// NewDriver starts the stand-in of the platform; bin is the directory of the built
// programs.
func NewDriver(c *qt.C, bin string) *Driver {
	f, err := fleet.New(fleet.Options{Bin: bin, Dir: c.TempDir(), Region: Region, PlatformFlags: []string{"--list-lag", "100ms"}})
	c.Assert(err, qt.IsNil)
	d := &Driver{C: c, Fleet: f, daemons: make(map[string]hosting.VM)}
	c.Cleanup(func() {
		if failed := f.Close(); len(failed) > 0 {
			c.Errorf("processes did not exit with code 0: %v", failed)
		}
		if c.Failed() {
			d.showLogs()
		}
	})
	return d
}

// Runners starts model engines in a zone.
func (d *Driver) Runners(zone string, names ...string) *Driver {
	for _, name := range names {
		d.startBackend(fleet.Backend{
			Name: name, Zone: zone, Class: "reclaimable-small", Reclaimable: true, Price: 1, Model: Model,
			Flags: []string{"--exit-on-crash"},
		})
	}
	return d
}

// RelayedRunner starts a model engine behind a relay.
func (d *Driver) RelayedRunner(zone, name string) *Driver {
	return d.startBackend(fleet.Backend{Name: name, Zone: zone, Class: "reclaimable-small", Price: 1, Model: Model, Relayed: true})
}

// PlainService starts a plain service that delays each request.
func (d *Driver) PlainService(zone, name string, delay time.Duration) *Driver {
	return d.startBackend(fleet.Backend{
		Name: name, Zone: zone, Class: "on-demand-small", Price: 3, Service: Service,
		Flags: []string{"--delay", delay.String()},
	})
}

func (d *Driver) startBackend(b fleet.Backend) *Driver {
	d.Helper()
	_, err := d.Fleet.StartBackend(b)
	d.Assert(err, qt.IsNil)
	return d
}

// fastSettings returns settings with short intervals, which keep the scenarios short.
func fastSettings() map[string][]string {
	return map[string][]string{
		"Daemon":   {"LeaveDelay = 100ms"},
		"Peers":    {"Interval = 100ms", "RelayTimeout = 10s"},
		"Platform": {"PollInterval = 100ms", "LongPoll = 500ms", "Timeout = 500ms"},
		"Backends": {"Silence = 1s"},
		"Claims":   {"Timeout = 10s"},
		"Orders":   {"Mode = Off"},
	}
}

// Daemon starts a daemon in a zone.
func (d *Driver) Daemon(zone, name string) *Driver {
	return d.startDaemon(fleet.Daemon{Name: name, Zone: zone, Settings: fastSettings()})
}

// LimitedDaemon starts a daemon with further settings for itself.
func (d *Driver) LimitedDaemon(zone, name string, lines ...string) *Driver {
	settings := fastSettings()
	settings["Daemon"] = append(settings["Daemon"], lines...)
	return d.startDaemon(fleet.Daemon{Name: name, Zone: zone, Settings: settings})
}

// CallerAddress returns the address of a daemon for callers.
func (d *Driver) CallerAddress(daemon string) string { return d.daemons[daemon].Address }

// PeerAddress returns the address of a daemon for other daemons.
func (d *Driver) PeerAddress(daemon string) string { return d.daemons[daemon].PeerAddress }

// OrderingDaemon starts a daemon that orders replacements for lost VMs while it holds
// the lease.
func (d *Driver) OrderingDaemon(zone, name string) *Driver {
	settings := fastSettings()
	settings["Orders"] = []string{"Lease = 1s", "Margin = 300ms", "Renewal = 300ms", "Interval = 200ms"}
	return d.startDaemon(fleet.Daemon{Name: name, Zone: zone, Settings: settings})
}

// Spare starts a model engine for the next VM that the cloud starts.
func (d *Driver) Spare(name string) *Driver {
	d.Helper()
	d.Assert(d.Fleet.StartSpare(name, Model), qt.IsNil)
	return d
}

// RelayedDaemon starts a daemon whose connections to the platform and from its peers
// go through relays.
func (d *Driver) RelayedDaemon(zone, name string) *Driver {
	return d.startDaemon(fleet.Daemon{Name: name, Zone: zone, Settings: fastSettings(), Relayed: true})
}

func (d *Driver) startDaemon(entry fleet.Daemon) *Driver {
	d.Helper()
	vm, err := d.Fleet.StartDaemon(entry)
	d.Assert(err, qt.IsNil)
	d.daemons[entry.Name] = vm
	return d
}

// Publish publishes the plans and allowances of the demonstration and waits until
// every daemon serves with them and lists at least that many backend servers.
func (d *Driver) Publish(backends int) *Driver {
	d.Helper()
	for name := range d.daemons {
		d.Command("publish", "--settings", d.Fleet.SettingsPath(name),
			"--plans", listsDir+"unlimited-plans.json", "--allowances", listsDir+"allowances.json")
		break
	}
	for name := range d.daemons {
		d.AwaitServing(name, backends)
	}
	return d
}

// AwaitServing waits until a daemon is ready and lists every daemon and at least that
// many backend servers.
func (d *Driver) AwaitServing(daemon string, backends int) *Driver {
	d.Helper()
	d.Assert(fleet.AwaitReady(d.daemons[daemon], awaitTimeout), qt.IsNil)
	d.Assert(fleet.AwaitBackends(d.daemons[daemon], backends, awaitTimeout), qt.IsNil)
	d.Assert(fleet.AwaitPeers(d.daemons[daemon], len(d.daemons), awaitTimeout), qt.IsNil)
	return d
}

// Command runs a command of the daemon program, which has to succeed.
func (d *Driver) Command(arguments ...string) string {
	d.Helper()
	output, err := d.Fleet.RunCommand(arguments...)
	d.Assert(err, qt.IsNil, qt.Commentf("%s", output))
	return output
}

// Reclaim issues reclaim notices for VMs, kills them when the notice has expired and removes
// them from the VM list.
func (d *Driver) Reclaim(notice time.Duration, names ...string) *Driver {
	d.Helper()
	d.Assert(d.Fleet.AnnounceReclaim(notice, names...), qt.IsNil)
	time.Sleep(notice)
	for _, name := range names {
		d.Kill(name)
		d.Assert(d.Fleet.RemoveVM(name), qt.IsNil)
	}
	return d
}

// LogOutage sets the outage of the log service. With hang, calls get no answer.
func (d *Driver) LogOutage(outage logservice.Outage, hang bool) *Driver {
	return d.SetFaults("platform", logservice.Faults{Outage: outage, Hang: hang})
}

// SetFaults sets the faults of a stand-in.
func (d *Driver) SetFaults(name string, body any) *Driver {
	d.Helper()
	d.Assert(d.Fleet.SetFaults(name, body), qt.IsNil)
	return d
}

// SetRelayMode sets whether a relay forwards, drops or cuts.
func (d *Driver) SetRelayMode(name string, mode relay.Mode) *Driver {
	d.Fleet.Relay(name).SetMode(mode)
	return d
}

// Runs returns how often the plain service ran requests with the key.
func (d *Driver) Runs(service, key string) int {
	d.Helper()
	runs, err := d.Fleet.Runs(service)
	d.Assert(err, qt.IsNil)
	return runs.Keys[`"`+key+`"`]
}

// AwaitRuns waits until the plain service has started at least count requests with
// the key.
func (d *Driver) AwaitRuns(service, key string, count int) *Driver {
	d.Helper()
	err := fleet.Await(service, "running "+key, awaitTimeout, func() bool { return d.Runs(service, key) >= count })
	d.Assert(err, qt.IsNil)
	return d
}

// AwaitLeaving waits until a daemon lists a backend server as leaving.
func (d *Driver) AwaitLeaving(daemon, backend string) *Driver {
	d.Helper()
	err := fleet.Await(daemon, "listing "+backend+" as leaving", awaitTimeout, func() bool {
		state, err := fleet.BackendState(d.daemons[daemon], backend)
		return err == nil && state == roster.Leaving
	})
	d.Assert(err, qt.IsNil)
	return d
}

// TotalRuns returns how many requests a backend server has run.
func (d *Driver) TotalRuns(backend string) int {
	d.Helper()
	runs, err := d.Fleet.Runs(backend)
	d.Assert(err, qt.IsNil)
	return runs.Total
}

// Metric reads a counter of a daemon.
func (d *Driver) Metric(daemon, name string) int64 {
	d.Helper()
	var all map[string]struct{ Count int64 }
	address := d.daemons[daemon].AdminAddress
	d.Assert(fleet.RequestJSON(http.MethodGet, "http://"+address+"/metrics", nil, &all), qt.IsNil)
	return all[name].Count
}

// ExpectedText returns the complete text with which every engine answers a question.
func ExpectedText(question string, tokens int) string {
	prompt := prefix.Render([]prefix.Message{{Role: "user", Content: question}})
	return engine.AnswerText(prompt, 0, tokens)
}

func (d *Driver) showLogs() {
	logs, _ := filepath.Glob(filepath.Join(filepath.Dir(d.Fleet.Process("platform").LogFile), "*.log"))
	for _, file := range logs {
		if content := readTail(file); content != "" {
			d.Logf("--- %s\n%s", strings.TrimSuffix(filepath.Base(file), ".log"), content)
		}
	}
}

// AwaitPriority waits until the first allowance in force at a daemon has the
// priority.
func (d *Driver) AwaitPriority(daemon string, priority int) *Driver {
	d.Helper()
	err := fleet.Await(daemon, "applying the amendment", awaitTimeout, func() bool {
		plans, err := fleet.ConfigurationInForce(d.daemons[daemon])
		return err == nil && len(plans.Allowances) > 0 && plans.Allowances[0].Priority == priority
	})
	d.Assert(err, qt.IsNil)
	return d
}
