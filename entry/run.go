package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cranberrywalk/cranberrywalk/callerserver"
	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/latest"
	"github.com/cranberrywalk/cranberrywalk/portlimit"
)

const (
	// announceRetryDelay is the time between two attempts to write the daemon's
	// own record.
	announceRetryDelay = time.Second
	// idleCheckPeriod is the time between two checks for idle connections.
	idleCheckPeriod = time.Second
)

// The timeouts for callers' connections before a configuration is known.
const (
	defaultHeadTimeout = 5 * time.Second
	defaultIdleTimeout = 60 * time.Second
)

// callerTimeouts returns the timeouts of the current configuration.
func (e *Entry) callerTimeouts() callerserver.Timeouts {
	current := e.gateway.Catalog()
	if current == nil {
		return callerserver.Timeouts{Header: defaultHeadTimeout, Idle: defaultIdleTimeout}
	}
	limits := current.Limits()
	return callerserver.Timeouts{Header: limits.HeaderTimeout, Idle: limits.IdleTimeout}
}

const (
	// defaultConfigurationTime is used when the platform does not set how long a
	// configuration may take to be in force everywhere.
	defaultConfigurationTime = 3 * time.Second
	// callerLag is the additional time in which requests arrive from callers that did not
	// know the newest configuration when they sent them.
	callerLag = time.Second
)

// callersLearnWithin returns how long after this daemon callers may learn of a
// configuration.
func (e *Entry) callersLearnWithin() time.Duration {
	applied := e.settings.Bounds.ConfigurationTime
	if applied <= 0 {
		applied = defaultConfigurationTime
	}
	return applied + callerLag
}

func (e *Entry) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if e.ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// run serves until ctx ends.
func (e *Entry) run(ctx context.Context) error {
	callerListener, err := listen(e.settings.CallersAddress)
	if err != nil {
		return err
	}
	readinessListener, err := listen(e.settings.ReadinessAddress)
	if err != nil {
		return err
	}
	metricsListener, err := listen(e.settings.MetricsAddress)
	if err != nil {
		return err
	}
	if err := e.group.Listen(); err != nil {
		return err
	}
	e.Log.Info("Started", "Daemon", e.self.Name, "Zone", e.self.Zone, "Incarnation", e.self.Incarnation)
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var tasks sync.WaitGroup
	dutiesCtx, stopDuties := context.WithCancel(background)
	tasks.Go(func() { e.serveCallers(callerListener) })
	tasks.Go(func() { e.serve(e.readinessServer, portlimit.ForServer(e.Common, "Readiness", readinessListener)) })
	tasks.Go(func() { e.serve(e.metricsServer, portlimit.ForServer(e.Common, "Metrics", metricsListener)) })
	tasks.Go(func() { e.group.Run(background) })
	tasks.Go(func() { e.announce(background) })
	tasks.Go(func() { e.closeIdleConnections(background) })
	tasks.Go(func() { e.watchZones(background) })
	tasks.Go(func() { e.expireRunners(background) })
	tasks.Go(func() { e.demand.run(background) })
	tasks.Go(func() { e.versions.Run(background) })
	tasks.Go(func() { e.fetchConfigurations(background) })
	tasks.Go(func() { e.duties.Run(dutiesCtx) })
	tasks.Go(func() { e.rollouts.duty.Run(dutiesCtx) })
	tasks.Go(func() { e.rollouts.awaitStates(dutiesCtx) })
	for _, f := range e.feeds {
		tasks.Go(func() { f.Run(background) })
	}
	<-ctx.Done()
	e.stop(stopDuties)
	stop()
	tasks.Wait()
	e.Log.Info("Stopped", "Daemon", e.self.Name)
	return nil
}

func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{Address: address, Cause: err}
	}
	return listener, nil
}

func (e *Entry) serveCallers(listener net.Listener) {
	if err := e.callers.Serve(listener); err != nil {
		e.Log.Error(err, "ListenerEnded", "Address", listener.Addr().String())
	}
}

func (e *Entry) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); err != http.ErrServerClosed {
		e.Log.Error(err, "ListenerEnded", "Address", listener.Addr().String())
	}
}

// stop ends the daemon within the platform's grace period, which begins now. The
// listener for callers stays open while the platform still sends requests here.
func (e *Entry) stop(stopDuties context.CancelFunc) {
	e.Log.Info("Stopping", "Daemon", e.self.Name)
	times := newStopTimes(e.settings.Bounds.StopGrace)
	drainEnd := e.Clock.Now().Add(times.drain)
	drainCtx, cancel := context.WithTimeout(context.Background(), times.drain)
	defer cancel()
	e.stopping.Store(true)
	e.balancer.Stop()
	e.callers.BeginStop()
	stopDuties()
	_ = clock.Sleep(drainCtx, e.Clock, min(readinessLag, times.drain/2))
	e.gateway.Drain(drainEnd)
	if err := e.callers.Drain(drainCtx, times.lastAnswers); err != nil {
		e.Log.Info("RequestsCut", "Reason", err.Error())
	}
	_ = e.callers.Close()
	<-e.duties.Done()
	_ = e.readinessServer.Close()
	_ = e.metricsServer.Close()
	leaveCtx, cancelLeave := context.WithTimeout(context.Background(), times.handover)
	defer cancelLeave()
	e.handOver(leaveCtx)
}

// readinessLag is how long the platform continues to route callers to a daemon that
// is no longer ready.
const readinessLag = 2500 * time.Millisecond

// announce writes the daemon's own record, so that other daemons discover it, and
// writes it again when the store has lost it.
func (e *Entry) announce(ctx context.Context) {
	value, err := msgpack.Marshal(e.self)
	if err != nil {
		e.Log.Error(err, "OwnRecordNotEncoded")
		return
	}
	for {
		putCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		epoch, err := e.store.Put(putCtx, membersTopic, latest.Record{Key: e.self.Name, Value: value})
		cancel()
		if err == nil {
			e.setAnnouncedEpoch(epoch)
			select {
			case <-e.announcement:
				continue
			case <-ctx.Done():
				return
			}
		}
		e.Count("Announcements.Failed", 1)
		if clock.Sleep(ctx, e.Clock, announceRetryDelay) != nil {
			return
		}
	}
}

// expireRunnersPeriod is the time between two checks for runners whose records went
// missing in an interruption of the store.
const expireRunnersPeriod = 200 * time.Millisecond

func (e *Entry) expireRunners(ctx context.Context) {
	for clock.Sleep(ctx, e.Clock, expireRunnersPeriod) == nil {
		e.runners.expire()
	}
}

// zonesPeriod is the time between two checks for unreachable zones.
const zonesPeriod = 200 * time.Millisecond

// watchZones passes to the balancer the zones in which no daemon is reachable.
func (e *Entry) watchZones(ctx context.Context) {
	for clock.Sleep(ctx, e.Clock, zonesPeriod) == nil {
		e.balancer.SetSilentZones(e.group.SilentZones())
	}
}

// closeIdleConnections closes connections to runners that are no longer used.
func (e *Entry) closeIdleConnections(ctx context.Context) {
	for clock.Sleep(ctx, e.Clock, idleCheckPeriod) == nil {
		e.upstream.CloseExpired()
	}
}
