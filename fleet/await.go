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

// pollInterval is the time between two polls of a condition.
const pollInterval = 20 * time.Millisecond

// Await polls check until it returns true, and fails with a *TimeoutError that
// names the process and the step.
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

// AwaitReady waits until a daemon reports that it is ready.
func AwaitReady(daemon hosting.VM, timeout time.Duration) error {
	return Await(daemon.Name, "becoming ready", timeout, func() bool {
		return RequestJSON(http.MethodGet, "http://"+daemon.AdminAddress+"/readyz", nil, nil) == nil
	})
}

// ConfigurationInForce returns the plans and allowances in force at a daemon.
func ConfigurationInForce(daemon hosting.VM) (admin.Plans, error) {
	var plans admin.Plans
	err := RequestJSON(http.MethodGet, "http://"+daemon.AdminAddress+"/plans", nil, &plans)
	return plans, err
}

// AwaitOffset waits until the configuration in force at a daemon has reached the
// offset.
func AwaitOffset(daemon hosting.VM, offset uint64, timeout time.Duration) (admin.Plans, error) {
	var plans admin.Plans
	err := Await(daemon.Name, "applying the configuration", timeout, func() bool {
		var err error
		plans, err = ConfigurationInForce(daemon)
		return err == nil && plans.Offset >= offset
	})
	return plans, err
}

// AwaitPeers waits until a daemon knows at least count entry VMs, including its
// own.
func AwaitPeers(daemon hosting.VM, count int, timeout time.Duration) error {
	return Await(daemon.Name, "finding its peers", timeout, func() bool {
		var known admin.Backends
		err := RequestJSON(http.MethodGet, "http://"+daemon.AdminAddress+"/backends", nil, &known)
		return err == nil && len(known.Peers) >= count
	})
}

// BackendState returns the state that a daemon has for a backend server. The state
// is empty when the daemon does not know the server.
func BackendState(daemon hosting.VM, backend string) (roster.State, error) {
	var known admin.Backends
	err := RequestJSON(http.MethodGet, "http://"+daemon.AdminAddress+"/backends", nil, &known)
	for _, b := range known.Backends {
		if b.VM.Name == backend {
			return b.State, err
		}
	}
	return "", err
}

// Runs counts the requests that a plain service ran.
type Runs struct {
	// Keys counts the runs by Idempotency-Key.
	Keys map[string]int
	// Requests counts the runs by request identity.
	Requests map[string]int
	Total    int
}

// Runs reads the counts from the stand-in of a plain service.
func (f *Fleet) Runs(service string) (Runs, error) {
	var runs Runs
	err := RequestJSON(http.MethodGet, f.endpoint(service)+"/control/runs", nil, &runs)
	return runs, err
}

// RunCommand runs a command of the daemon program, waits for its exit and returns
// its output. A failure is an *ExitedError.
func (f *Fleet) RunCommand(arguments ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, filepath.Join(f.options.Bin, daemonProgram), arguments...)
	output, err := command.CombinedOutput()
	if err != nil {
		return string(output), &ExitedError{Name: arguments[0], Code: command.ProcessState.ExitCode()}
	}
	return string(output), nil
}

// AwaitBackends waits until a daemon knows at least count backend servers.
func AwaitBackends(daemon hosting.VM, count int, timeout time.Duration) error {
	return Await(daemon.Name, "finding the backend servers", timeout, func() bool {
		var known admin.Backends
		err := RequestJSON(http.MethodGet, "http://"+daemon.AdminAddress+"/backends", nil, &known)
		return err == nil && len(known.Backends) >= count
	})
}
