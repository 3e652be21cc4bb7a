package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// Run serves until ctx ends or the VM is reclaimed, and then stops without
// cutting off a request. It returns a *ListenError, or the *dispatch.DrainError
// of a stop that took too long. listening is called once all listeners are
// bound.
func (d *Daemon) Run(ctx context.Context, listening func()) error {
	defer close(d.done)
	callers, operators, err := d.listen()
	if err != nil {
		return err
	}
	parts, stopParts := context.WithCancel(context.WithoutCancel(ctx))
	mesh, stopMesh := context.WithCancel(context.WithoutCancel(ctx))
	var running, meshRunning sync.WaitGroup
	meshRunning.Go(func() { d.mesh.Run(mesh) })
	for _, run := range d.parts() {
		running.Go(func() { run(parts) })
	}
	running.Go(func() { d.serve(d.callers, callers) })
	running.Go(func() { d.serve(d.admin, operators) })
	d.Events.Record(telemetry.Event{Kind: "DaemonStarted", Detail: d.incarnation})
	listening()
	select {
	case <-ctx.Done():
	case <-d.reclaimed:
	}
	drainErr := d.drain()
	stopParts()
	// A server that was shut down has nothing left to close.
	_ = d.admin.Close()
	running.Wait()
	d.link.Close()
	// The peer address is released last: whoever binds it next knows that
	// this process writes to no backend server any more.
	stopMesh()
	meshRunning.Wait()
	return drainErr
}

// parts returns what runs until the requests have ended.
func (d *Daemon) parts() []func(context.Context) {
	parts := []func(context.Context){
		d.configuration.Run, d.snapshotter.Run, d.membership.run, d.ledger.Run, d.bootFromPeers,
	}
	if d.orders != nil {
		parts = append(parts, d.orders.Run)
	}
	return parts
}

// listen binds all addresses before any part runs.
func (d *Daemon) listen() (callers, operators net.Listener, err error) {
	if err := d.mesh.Listen(); err != nil {
		return nil, nil, err
	}
	callers, err = net.Listen("tcp", d.callers.Addr)
	if err != nil {
		return nil, nil, &ListenError{Listener: "Callers", Address: d.callers.Addr, Cause: err}
	}
	operators, err = net.Listen("tcp", d.admin.Addr)
	if err != nil {
		return nil, nil, &ListenError{Listener: "Admin", Address: d.admin.Addr, Cause: err}
	}
	return callers, operators, nil
}

func (d *Daemon) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		d.Log.Error(err, "listener failed", "Address", server.Addr)
	}
}

// drain is the planned stop: it ends the acceptance of requests and waits for
// those in flight.
func (d *Daemon) drain() error {
	close(d.stopping)
	d.Log.Info("planned stop begins", "InFlight", d.dispatcher.InFlight())
	d.Events.Record(telemetry.Event{Kind: "DaemonDraining"})
	d.peerHandler.drain()
	d.mesh.Tell()
	// The balancer sees the readiness go off before connections are refused.
	d.callers.SetKeepAlivesEnabled(false)
	_ = clock.Sleep(context.Background(), d.Clock, d.settings.Daemon.LeaveDelay)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Daemon.DrainTimeout)
	defer cancel()
	// The dispatcher's own error says more than the server's.
	_ = d.callers.Shutdown(ctx)
	d.dispatcher.Drain()
	err := d.dispatcher.Wait(ctx)
	d.settleClaims(ctx)
	d.Log.Info("planned stop ends", "InFlight", d.dispatcher.InFlight())
	return err
}

// settleTimeout bounds the wait for the releases of claims at a planned stop.
// A claim that is left unreleased keeps its key from being run, which is safe.
const settleTimeout = 5 * time.Second

func (d *Daemon) settleClaims(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if err := d.ledger.Settle(ctx); err != nil {
		d.Log.Error(err, "claims are left unsettled")
	}
}
