// Package fleet runs the built programs as separate processes on loopback: daemons
// and the stand-ins of the platform and of the backend servers. The demonstration,
// the end-to-end tests and the benchmarks control the processes with it.
package fleet

import (
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/standin/relay"
)

const (
	// startTimeout bounds the start of one program.
	startTimeout = 20 * time.Second
	// stopTimeout bounds the graceful shutdown of one program, and the run of one
	// command.
	stopTimeout = 30 * time.Second
)

// daemonProgram is the file name of the built daemon.
const daemonProgram = "cranberrywalk"

// Options configures a fleet.
type Options struct {
	// Bin is the directory of the built programs.
	Bin string
	// Dir is the directory for settings and logs of the processes.
	Dir string
	// Region is the name of the region that every VM is in.
	Region string
	// PlatformFlags are additional flags of the platform's stand-in.
	PlatformFlags []string
}

// Fleet is a set of running processes on loopback.
type Fleet struct {
	options Options
	// PlatformURL is the base URL of the platform's stand-in.
	PlatformURL string

	mu        sync.Mutex
	processes []*Process
	// vms is the VM list that the platform's stand-in serves.
	vms []hosting.VM
	// relays holds the relays by the name of the backend server, or by the name of
	// the daemon with PeerRelaySuffix or PlatformRelaySuffix.
	relays map[string]*relay.Relay
	// endpoints holds the base URL of the control interface of each stand-in, and
	// the peer address of each daemon under its name with PeerRelaySuffix.
	endpoints map[string]string
}

// New returns a fleet in which only the stand-in of the platform runs.
func New(options Options) (*Fleet, error) {
	f := &Fleet{options: options, relays: make(map[string]*relay.Relay), endpoints: make(map[string]string)}
	address, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	flags := append([]string{"platform", "--address", address}, options.PlatformFlags...)
	if _, err := f.run("platform", "standin", nil, flags...); err != nil {
		return nil, err
	}
	f.PlatformURL = "http://" + address
	f.setEndpoint("platform", f.PlatformURL)
	return f, nil
}

// run starts a program and waits until it listens.
func (f *Fleet) run(name, program string, environment []string, arguments ...string) (*Process, error) {
	process, err := startProcess(f.options.Dir, name, filepath.Join(f.options.Bin, program), environment, arguments...)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.processes = append(f.processes, process)
	f.mu.Unlock()
	return process, process.AwaitReady(startTimeout)
}

// Process returns the latest process that was started under that name, or nil.
func (f *Fleet) Process(name string) *Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, process := range slices.Backward(f.processes) {
		if process.Name == name {
			return process
		}
	}
	return nil
}

// Stop sends SIGTERM to a process, waits for its exit and returns the exit code.
func (f *Fleet) Stop(name string) (int, error) {
	process := f.Process(name)
	if err := process.Signal(syscall.SIGTERM); err != nil {
		return 0, &OperationError{Name: name, Cause: err}
	}
	return process.AwaitExit(stopTimeout)
}

// Close stops every process, the daemons before the stand-ins, and returns the names
// of the processes that did not exit with code 0.
func (f *Fleet) Close() []string {
	f.mu.Lock()
	processes := slices.Clone(f.processes)
	f.mu.Unlock()
	var daemons, standins []*Process
	for _, process := range processes {
		if process.program == daemonProgram {
			daemons = append(daemons, process)
			continue
		}
		standins = append(standins, process)
	}
	failed := append(stopAll(daemons), stopAll(standins)...)
	f.closeRelays()
	return failed
}

// stopAll stops processes concurrently and returns the names of the processes that did
// not exit with code 0. Processes that have already exited are left out.
func stopAll(processes []*Process) []string {
	var failed []string
	var running []*Process
	for _, process := range processes {
		if process.hasExited() {
			continue
		}
		running = append(running, process)
		// A process that was paused by SIGSTOP handles SIGTERM only after SIGCONT. The
		// process may just have exited, so errors are ignored.
		_ = process.Signal(syscall.SIGCONT)
		_ = process.Signal(syscall.SIGTERM)
	}
	for _, process := range running {
		code, err := process.AwaitExit(stopTimeout)
		if err != nil || code != 0 {
			failed = append(failed, process.Name)
			process.kill()
		}
	}
	return failed
}

// writeFile writes a file to the fleet's directory and returns its path.
func (f *Fleet) writeFile(name, content string) (string, error) {
	path := filepath.Join(f.options.Dir, name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		return "", &OperationError{Name: name, Cause: err}
	}
	return path, nil
}
