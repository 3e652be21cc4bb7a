package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/callerserver"
	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/portlimit"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// Run serves until ctx is done or the VM is reclaimed, and then drains the requests
// in flight and stops. It returns a *ListenError, or a *dispatch.DrainIncompleteError when
// the drain timed out. It calls listening once all listeners are bound.
func (d *Daemon) Run(ctx context.Context, listening func()) error {
	defer close(d.done)
	callerListener, adminListener, err := d.listen()
	if err != nil {
		return err
	}
	loopsCtx, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	meshCtx, stopMesh := context.WithCancel(context.WithoutCancel(ctx))
	var running, meshRunning sync.WaitGroup
	meshRunning.Go(func() { d.mesh.Run(meshCtx) })
	for _, run := range d.loops() {
		running.Go(func() { run(loopsCtx) })
	}
	running.Go(func() { d.serveCallers(callerListener) })
	running.Go(func() { d.serve(d.admin, portlimit.ForServer(d.Common, "Admin", adminListener)) })
	d.Events.Record(telemetry.Event{Kind: "DaemonStarted", Detail: d.incarnation})
	listening()
	select {
	case <-ctx.Done():
	case <-d.reclaimed:
	}
	drainErr := d.drain()
	stopLoops()
	// An error of closing the listener is ignored, since the process is about to end.
	_ = d.admin.Close()
	running.Wait()
	d.client.Close()
	// The peer address is released last, so that once another process can bind it,
	// this one no longer writes to any backend server.
	stopMesh()
	meshRunning.Wait()
	return drainErr
}

// loops returns the loops that run until the requests have ended.
func (d *Daemon) loops() []func(context.Context) {
	loops := []func(context.Context){
		d.configuration.Run, d.snapshotter.Run, d.rosterWatcher.run, d.claimer.Run, d.bootFromPeers,
	}
	if d.orders != nil {
		loops = append(loops, d.orders.Run)
	}
	return loops
}

// listen binds all addresses before any component runs.
func (d *Daemon) listen() (callerListener, adminListener net.Listener, err error) {
	if err := d.mesh.Listen(); err != nil {
		return nil, nil, err
	}
	callerListener, err = net.Listen("tcp", d.settings.Callers.Address)
	if err != nil {
		return nil, nil, &ListenError{Listener: "Callers", Address: d.settings.Callers.Address, Cause: err}
	}
	adminListener, err = net.Listen("tcp", d.admin.Addr)
	if err != nil {
		return nil, nil, &ListenError{Listener: "Admin", Address: d.admin.Addr, Cause: err}
	}
	return callerListener, adminListener, nil
}

func (d *Daemon) serveCallers(listener net.Listener) {
	if err := d.callers.Serve(listener); err != nil {
		d.Log.Error(err, "listener failed", "Address", listener.Addr().String())
	}
}

func (d *Daemon) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		d.Log.Error(err, "listener failed", "Address", server.Addr)
	}
}

// drain performs the planned stop: it stops accepting requests and waits for those
// in flight.
func (d *Daemon) drain() error {
	close(d.stopping)
	d.Log.Info("planned stop begins", "InFlight", d.dispatcher.InFlight())
	d.Events.Record(telemetry.Event{Kind: "DaemonDraining"})
	d.peerHandler.drain()
	d.mesh.Publish()
	// The load balancer needs time to see that readiness is off before
	// connections are refused.
	d.callers.BeginStop()
	_ = clock.Sleep(context.Background(), d.Clock, d.settings.Daemon.LeaveDelay)
	d.dispatcher.DrainBy(d.Clock.Now().Add(d.settings.Daemon.DrainTimeout))
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Daemon.DrainTimeout)
	defer cancel()
	if err := d.callers.Drain(ctx, callerserver.LastAnswersTime); err != nil {
		d.Log.Info("callers' connections cut", "Reason", err.Error())
	}
	d.dispatcher.Drain()
	err := d.dispatcher.Wait(ctx)
	// All answers are written, or the time for them is over. An error of closing is
	// ignored, since the process is about to end.
	_ = d.callers.Close()
	d.settleClaims(ctx)
	d.Log.Info("planned stop ends", "InFlight", d.dispatcher.InFlight())
	return err
}

// settleTimeout bounds the wait for the releases of claims at a planned stop. A
// claim that is not released blocks further runs of its key, which is safe.
const settleTimeout = 5 * time.Second

func (d *Daemon) settleClaims(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if err := d.claimer.Drain(ctx); err != nil {
		d.Log.Error(err, "planned stop: the releases of some claims were not confirmed")
	}
}
