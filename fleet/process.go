package fleet

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// readyPrefix starts the line that a program prints once it listens.
const readyPrefix = "ready "

// Process is one running program.
type Process struct {
	// Name is unique in the fleet.
	Name string
	// LogFile is the path of the file that gets the standard error.
	LogFile string

	// program is the name of the built program.
	program string
	command *exec.Cmd
	// ready is closed when the program has printed its ready line.
	ready chan struct{}
	// done is closed when the program has exited; exitCode is set before.
	done     chan struct{}
	exitCode int
}

// startProcess runs a program whose standard error goes to a file in dir.
func startProcess(dir, name, program string, environment []string, arguments ...string) (*Process, error) {
	logFile := filepath.Join(dir, name+".log")
	stderr, err := os.Create(logFile)
	if err != nil {
		return nil, &OperationError{Name: name, Cause: err}
	}
	defer stderr.Close()
	command := exec.Command(program, arguments...)
	command.Stderr = stderr
	command.Env = append(os.Environ(), environment...)
	// The kernel kills the program when the fleet's own process dies.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stdout, err := command.StdoutPipe()
	if err != nil {
		return nil, &OperationError{Name: name, Cause: err}
	}
	if err := command.Start(); err != nil {
		return nil, &OperationError{Name: name, Cause: err}
	}
	process := &Process{
		Name:    name,
		LogFile: logFile,
		program: filepath.Base(program),
		command: command,
		ready:   make(chan struct{}),
		done:    make(chan struct{}),
	}
	go process.watch(stdout)
	return process, nil
}

// watch reads the program's standard output to its end and then waits for its
// exit.
func (p *Process) watch(stdout io.Reader) {
	defer close(p.done)
	isReady := false
	lines := bufio.NewScanner(stdout)
	for lines.Scan() {
		if !isReady && strings.HasPrefix(lines.Text(), readyPrefix) {
			isReady = true
			close(p.ready)
		}
	}
	// The error holds no more than the exit code.
	_ = p.command.Wait()
	p.exitCode = p.command.ProcessState.ExitCode()
}

// AwaitReady waits until the program listens.
func (p *Process) AwaitReady(timeout time.Duration) error {
	select {
	case <-p.ready:
		return nil
	case <-p.done:
		return &ExitedError{Name: p.Name, Code: p.exitCode, LogFile: p.LogFile}
	case <-time.After(timeout):
		return &TimeoutError{Name: p.Name, Step: "listening", Timeout: timeout}
	}
}

// Signal sends a signal to the program.
func (p *Process) Signal(signal syscall.Signal) error {
	return p.command.Process.Signal(signal)
}

func (p *Process) hasExited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Done returns a channel that is closed when the program has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// AwaitExit waits for the program's exit and returns its exit code, which is -1
// when a signal killed it.
func (p *Process) AwaitExit(timeout time.Duration) (int, error) {
	select {
	case <-p.done:
		return p.exitCode, nil
	case <-time.After(timeout):
		return 0, &TimeoutError{Name: p.Name, Step: "ending", Timeout: timeout}
	}
}

// PID returns the program's process ID.
func (p *Process) PID() int { return p.command.Process.Pid }

// kill sends SIGKILL and waits for the exit.
func (p *Process) kill() {
	// The program may have exited already, so errors are ignored.
	_ = p.Signal(syscall.SIGCONT)
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
}
