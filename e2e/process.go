package e2e

import (
	"syscall"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/fleet"
)

// Kill sends SIGKILL to a process and waits for its exit.
func (d *Driver) Kill(name string) *Driver {
	d.signal(name, syscall.SIGKILL)
	<-d.Fleet.Process(name).Done()
	return d
}

// Pause suspends a process until Resume.
func (d *Driver) Pause(name string) *Driver { return d.signal(name, syscall.SIGSTOP) }

// Resume continues a paused process.
func (d *Driver) Resume(name string) *Driver { return d.signal(name, syscall.SIGCONT) }

// RequestStop starts the planned stop of a process.
func (d *Driver) RequestStop(name string) *Driver { return d.signal(name, syscall.SIGTERM) }

// HangUp sends a process the signal that its settings file has changed.
func (d *Driver) HangUp(name string) *Driver { return d.signal(name, syscall.SIGHUP) }

func (d *Driver) signal(name string, signal syscall.Signal) *Driver {
	d.Helper()
	d.Assert(d.Fleet.Process(name).Signal(signal), qt.IsNil)
	return d
}

// AwaitStopped waits for the end of a planned stop, which has to exit with code 0.
func (d *Driver) AwaitStopped(name string) *Driver {
	d.Helper()
	code, err := d.Fleet.Process(name).AwaitExit(awaitTimeout)
	d.Assert(err, qt.IsNil)
	d.Assert(code, qt.Equals, 0)
	return d
}

// Restart starts a daemon again under the same name and on the same addresses.
func (d *Driver) Restart(name string) *Driver {
	return d.startDaemon(fleet.Daemon{Name: name, Zone: d.daemons[name].Zone, Settings: fastSettings()})
}
