package fleet

import (
	"context"
	"net/http"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/cranberrywalk/cranberrywalk/admin"
	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/roster"
)

// pollInterval is the time between two looks at a daemon.
const pollInterval = 20 * time.Millisecond

// Await repeats check until it returns true.
func Await(name, step string, timeout time.Duration, check func() bool) error {
	deadline := time.Now().Add(timeout)
	for !check() {
		if time.Now().After(deadline) {
			return &TimeoutError{Name: name, Step: step, Timeout: timeout}
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// AwaitReady waits until a daemon takes requests.
func AwaitReady(daemon hosting.VM, timeout time.Duration) error {
	return Await(daemon.Name, "becoming ready", timeout, func() bool {
		return Control(http.MethodGet, "http://"+daemon.AdminAddress+"/readyz", nil, nil) == nil
	})
}

// Plans returns the configuration in force at a daemon.
func Plans(daemon hosting.VM) (admin.Plans, error) {
	var plans admin.Plans
	err := Control(http.MethodGet, "http://"+daemon.AdminAddress+"/plans", nil, &plans)
	return plans, err
}

// AwaitVersion waits until the configuration in force at a daemon has at least
// that offset.
func AwaitVersion(daemon hosting.VM, offset uint64, timeout time.Duration) (admin.Plans, error) {
	var plans admin.Plans
	err := Await(daemon.Name, "taking over the configuration", timeout, func() bool {
		var err error
		plans, err = Plans(daemon)
		return err == nil && plans.Offset >= offset
	})
	return plans, err
}

// AwaitPeers waits until a daemon knows that many entry VMs, its own included.
func AwaitPeers(daemon hosting.VM, count int, timeout time.Duration) error {
	return Await(daemon.Name, "finding its peers", timeout, func() bool {
		var known admin.Backends
		err := Control(http.MethodGet, "http://"+daemon.AdminAddress+"/backends", nil, &known)
		return err == nil && len(known.Peers) >= count
	})
}

// BackendState returns what a daemon thinks of a backend server; it is empty
// for one that the daemon does not know.
func BackendState(daemon hosting.VM, backend string) (roster.State, error) {
	var known admin.Backends
	err := Control(http.MethodGet, "http://"+daemon.AdminAddress+"/backends", nil, &known)
	for _, b := range known.Backends {
		if b.VM.Name == backend {
			return b.State, err
		}
	}
	return "", err
}

// Runs tells what a plain service ran.
type Runs struct {
	// Keys counts the runs by Idempotency-Key.
	Keys map[string]int
	// Requests counts the runs by request identity.
	Requests map[string]int
	Total    int
}

// Runs asks the stand-in of a plain service what it ran.
func (f *Fleet) Runs(service string) (Runs, error) {
	var runs Runs
	err := Control(http.MethodGet, f.controlURL(service)+"/control/runs", nil, &runs)
	return runs, err
}

// Command runs a command of the program to its end and returns its output. A
// failure is an *ExitedError.
func (f *Fleet) Command(arguments ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, filepath.Join(f.options.Bin, programDaemon), arguments...)
	output, err := command.CombinedOutput()
	if err != nil {
		return string(output), &ExitedError{Name: arguments[0], Code: command.ProcessState.ExitCode()}
	}
	return string(output), nil
}

// AwaitBackends waits until a daemon knows that many backend servers.
func AwaitBackends(daemon hosting.VM, count int, timeout time.Duration) error {
	return Await(daemon.Name, "finding the backend servers", timeout, func() bool {
		var known admin.Backends
		err := Control(http.MethodGet, "http://"+daemon.AdminAddress+"/backends", nil, &known)
		return err == nil && len(known.Backends) >= count
	})
}
