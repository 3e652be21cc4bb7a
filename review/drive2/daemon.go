package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cranberrywalk/cranberrywalk/fleet"
	"github.com/cranberrywalk/cranberrywalk/platform"
)

// program is what the deploy file builds and runs.
const program = "target/cranberrywalk"

// daemonSettings are the settings that differ between cases and daemons.
type daemonSettings struct {
	name, zone string
	store      string
	cloud      string
	memoryMB   int
	// bounds are lines of the bounds in the settings file.
	bounds string
}

// daemon is one entry VM, whose process may be restarted.
type daemon struct {
	name           string
	settings, logs string
	callers, ready string
	peers          string

	mutex sync.Mutex
	// command is the current process, and ended is closed when it has ended; guarded by mutex.
	command *exec.Cmd
	ended   chan struct{}
}

// newDaemon writes the settings of a daemon to a folder. The seed is the address for daemons of
// another one, or empty.
func newDaemon(folder string, s daemonSettings, seed string) (*daemon, error) {
	d := &daemon{name: s.name, settings: filepath.Join(folder, s.name+".yaml"), logs: filepath.Join(folder, s.name+".log")}
	metrics := ""
	for _, address := range []*string{&d.callers, &d.ready, &d.peers, &metrics} {
		free, err := fleet.FreeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	if seed == "" {
		seed = d.peers
	}
	_, port, err := net.SplitHostPort(metrics)
	if err != nil {
		return nil, err
	}
	content := fmt.Sprintf(settingsFormat, s.name, s.zone, d.callers, d.ready, d.peers, port, port, seed, s.memoryMB, s.bounds, s.store, s.cloud)
	return d, os.WriteFile(d.settings, []byte(content), 0o600)
}

// settingsFormat has the fields of the settings file of a small deployment that the daemon reads.
const settingsFormat = `node_name: %q
zone: %q
region: "mn-central"
ip: "127.0.0.1"
bootstrap: true
listen: {frontend: %q, readiness: %q, control_plane: %q}
port_range: [%s, %s]
seeds: [%q]
limits: {cpu_share: 0.4, cores: 1, memory_mb: %d, max_fds: 4100}
heartbeat_ms: 1200
bounds: {contact_ms: 3000, drain_ms: 2000, grace_s: 8, config_apply_ms: 2000, retry_budget_ratio: 0.2,
  retry_window_s: 10, retry_slack: 54, quota_window_s: 8, quota_overshoot: 0.1, quota_slack: 140000,
  fencing_enforced: true, lease_ms: 3000, report_window_s: 5, usage_delay_s: 10%s}
platform: {address: %q, writes_per_s: 400, reads_per_s: 2000}
cloud_api: {address: %q, duties: ["usage"]}
`

// start starts the process. Its logs are appended to those before.
func (d *daemon) start() error {
	output, err := os.OpenFile(d.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	command := exec.Command(program, "serve")
	command.Env = append(os.Environ(), platform.SettingsPathVariable+"="+d.settings)
	command.Stdout, command.Stderr = output, output
	// The kernel ends the process with this one.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.command, d.ended = command, ended
	return nil
}

// signal sends a signal to the process.
func (d *daemon) signal(s syscall.Signal) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.command.Process.Signal(s)
}

// end returns the channel that is closed when the current process has ended.
func (d *daemon) end() <-chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.ended
}

// kill ends the process at once and waits for its end.
func (d *daemon) kill() {
	if d.command == nil {
		return
	}
	_ = d.signal(syscall.SIGKILL)
	<-d.end()
}

// startTimeout bounds the start of a daemon.
const startTimeout = 10 * time.Second

// awaitReady waits until the daemon says that it is ready.
func (d *daemon) awaitReady() error {
	return fleet.Await(d.name, "becoming ready", startTimeout, func() bool {
		client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := client.Get("http://" + d.ready + "/-/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// residentMB returns the resident memory of the process in MB, or zero if it has ended.
func (d *daemon) residentMB() float64 {
	d.mutex.Lock()
	pid := d.command.Process.Pid
	d.mutex.Unlock()
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if fields := strings.Fields(lines.Text()); len(fields) > 1 && fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.ParseFloat(fields[1], 64)
			return kilobytes / 1024
		}
	}
	return 0
}
