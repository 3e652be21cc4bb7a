package e2e

import (
	"syscall"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/fleet"
)

// Kill ends a process without a chance to clean up.
func (d *Driver) Kill(name string) *Driver {
	d.signal(name, syscall.SIGKILL)
	<-d.Fleet.Process(name).Done()
	return d
}

// Freeze stops a process from running until Thaw.
func (d *Driver) Freeze(name string) *Driver { return d.signal(name, syscall.SIGSTOP) }

// Thaw lets a frozen process run on.
func (d *Driver) Thaw(name string) *Driver { return d.signal(name, syscall.SIGCONT) }

// BeginStop asks a process for its planned stop.
func (d *Driver) BeginStop(name string) *Driver { return d.signal(name, syscall.SIGTERM) }

func (d *Driver) signal(name string, signal syscall.Signal) *Driver {
	d.Helper()
	d.Assert(d.Fleet.Process(name).Signal(signal), qt.IsNil)
	return d
}

// AwaitStopped waits for the end of a planned stop, which has to be clean.
func (d *Driver) AwaitStopped(name string) *Driver {
	d.Helper()
	code, err := d.Fleet.Process(name).AwaitExit(patience)
	d.Assert(err, qt.IsNil)
	d.Assert(code, qt.Equals, 0)
	return d
}

// Restart starts a daemon of a known name again.
func (d *Driver) Restart(name string) *Driver {
	return d.daemon(fleet.Daemon{Name: name, Zone: d.daemons[name].Zone, Settings: quick()})
}
