package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cranberrywalk/cranberrywalk/fleet"
	"github.com/cranberrywalk/cranberrywalk/platform"
)

// daemon is one daemon, whose process may be restarted.
type daemon struct {
	name, zone string
	program    string
	settings   string
	logFile    string
	record     *record
	// callers, readiness and peers are its addresses.
	callers, readiness, peers string

	mutex sync.Mutex
	// command is the current process or nil; guarded by mutex, as the field below.
	command *exec.Cmd
	// done is closed when the current process has ended.
	done chan struct{}
}

// settingsText is the settings file of a daemon, with the fields and the figures of a small
// deployment.
const settingsText = `node_name: %q
role: "entry"
machine_class: "edge"
serves: ["edge", "control"]
ip: "127.0.0.1"
zone: %q
region: "central"
zones: {zone-a: "central", zone-b: "central", zone-c: "central", zone-d: "central"}
listen: {frontend: %q, readiness: %q, control_plane: %q}
seeds: [%q]
bootstrap: true
loss_counts: false
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
data_dir: null
heartbeat_ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "leader", "platform"]
bounds: {contact_ms: 3000, ack_ms: 4000, drain_ms: 2000, grace_s: 8, config_apply_ms: 2000, retry_budget_ratio: 0.2,
  retry_window_s: 10, retry_slack: 54, lease_ms: 3000, report_window_s: 5, usage_error: 0.05, usage_delay_s: 10, recovery_s: 12}
platform: {address: %q, form: "log", writes_per_s: 400, reads_per_s: 2000}
cloud_api: {address: %q, rate_per_s: 50.0, duties: ["usage"], dutycalls_per_s: 50.0}
`

// addDaemon starts another daemon.
func (r *rig) addDaemon() error {
	number := len(r.daemons)
	d := &daemon{
		name: fmt.Sprintf("entry-%d", number+1), zone: "zone-" + string(rune('a'+number%4)), program: r.program, record: r.record,
	}
	d.settings, d.logFile = filepath.Join(r.dir, d.name+".yaml"), filepath.Join(r.dir, d.name+".log")
	for _, address := range []*string{&d.callers, &d.readiness, &d.peers} {
		free, err := fleet.FreeAddress()
		if err != nil {
			return err
		}
		*address = free
	}
	store, err := r.store.Listen(d.name)
	if err != nil {
		return err
	}
	r.daemons = append(r.daemons, d)
	content := fmt.Sprintf(settingsText, d.name, d.zone, d.callers, d.readiness, d.peers, r.daemons[0].peers, store, r.cloud.Address())
	if err := os.WriteFile(d.settings, []byte(content), 0o600); err != nil {
		return err
	}
	return d.start()
}

// start starts a process.
func (d *daemon) start() error {
	output, err := os.OpenFile(d.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	command := exec.Command(d.program, "serve")
	command.Env = append(os.Environ(), platform.SettingsPathVariable+"="+d.settings)
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	d.record.add("%s starts", d.name)
	done := make(chan struct{})
	d.mutex.Lock()
	d.command, d.done = command, done
	d.mutex.Unlock()
	go func() {
		err := command.Wait()
		d.record.add("%s has ended: %v", d.name, err)
		close(done)
	}()
	return nil
}

// signal sends a signal to the current process. It may have ended, so errors are ignored.
func (d *daemon) signal(signal syscall.Signal) {
	d.record.add("%s gets %v", d.name, signal)
	_ = d.process().Signal(signal)
}

func (d *daemon) process() *os.Process {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.command.Process
}

// ended is closed when the current process has ended.
func (d *daemon) ended() <-chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.done
}

func (d *daemon) isRunning() bool {
	select {
	case <-d.ended():
		return false
	default:
		return true
	}
}

// kill ends the current process and waits for its end.
func (d *daemon) kill() {
	if d.isRunning() {
		d.signal(syscall.SIGKILL)
	}
	<-d.ended()
}

func (d *daemon) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + d.readiness + "/-/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
