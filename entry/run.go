package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/connlimit"
)

const (
	// headerTime bounds the time for the head of a request whatever the
	// configuration says.
	headerTime = 60 * time.Second
	// stopMargin is left of the platform's grace when requests are ended.
	stopMargin = 800 * time.Millisecond
	// defaultGrace is used when the platform tells no grace.
	defaultGrace = 8 * time.Second
	// announcePause is the time between two tries to write the own record.
	announcePause = time.Second
	// cleanPeriod is the time between two looks for old connections.
	cleanPeriod = time.Second
)

func (e *Entry) addServers() {
	e.connections = connlimit.New(e.Common, e.callerBounds)
	e.callers = &http.Server{
		Handler: e.gateway, ReadHeaderTimeout: headerTime, ConnState: e.connections.OnState,
	}
	e.metrics.Gauge("runners_age_seconds", "Time since the runners were last read.", func() float64 {
		return e.runnersAge().Seconds()
	})
	e.exposed = &http.Server{Handler: e.metrics.Handler(), ReadHeaderTimeout: headerTime}
	e.readiness = &http.Server{Handler: http.HandlerFunc(e.answerReady), ReadHeaderTimeout: headerTime}
}

// The bounds for callers before a configuration is known.
const (
	defaultHeadTimeout = 5 * time.Second
	defaultIdleTimeout = 60 * time.Second
)

// callerBounds returns the bounds of the configuration in force.
func (e *Entry) callerBounds() connlimit.Bounds {
	known := e.gateway.Catalog()
	if known == nil {
		return connlimit.Bounds{Head: defaultHeadTimeout, Idle: defaultIdleTimeout}
	}
	limits := known.Limits()
	return connlimit.Bounds{Head: limits.HeaderTimeout, Idle: limits.IdleTimeout}
}

func (e *Entry) answerReady(w http.ResponseWriter, _ *http.Request) {
	if e.ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// run serves until ctx ends.
func (e *Entry) run(ctx context.Context) error {
	callers, err := listen(e.settings.CallersAddress)
	if err != nil {
		return err
	}
	readiness, err := listen(e.settings.ReadyAddress)
	if err != nil {
		return err
	}
	exposed, err := listen(e.settings.MetricsAddress)
	if err != nil {
		return err
	}
	if err := e.group.Listen(); err != nil {
		return err
	}
	e.Log.Info("Started", "Daemon", e.self.Name, "Zone", e.self.Zone, "Incarnation", e.self.Incarnation)
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var parts sync.WaitGroup
	duties, stopDuties := context.WithCancel(background)
	parts.Go(func() { e.serve(e.callers, e.connections.Listen(callers)) })
	parts.Go(func() { e.serve(e.readiness, readiness) })
	parts.Go(func() { e.serve(e.exposed, exposed) })
	parts.Go(func() { e.group.Run(background) })
	parts.Go(func() { e.announce(background) })
	parts.Go(func() { e.clean(background) })
	parts.Go(func() { e.watchZones(background) })
	parts.Go(func() { e.duties.Run(duties) })
	for _, f := range e.feeds {
		parts.Go(func() { f.Run(background) })
	}
	<-ctx.Done()
	e.stop(stopDuties)
	stop()
	parts.Wait()
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

func (e *Entry) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); err != http.ErrServerClosed {
		e.Log.Error(err, "ListenerEnded", "Address", listener.Addr().String())
	}
}

// stop ends the daemon within the platform's grace. Callers' connections stay
// open while the platform still sends requests here.
func (e *Entry) stop(stopDuties context.CancelFunc) {
	e.Log.Info("Stopping", "Daemon", e.self.Name)
	e.stopping.Store(true)
	e.callers.SetKeepAlivesEnabled(false)
	stopDuties()
	<-e.duties.Done()
	grace := e.settings.Bounds.StopGrace
	if grace <= 0 {
		grace = defaultGrace
	}
	limit := context.Background()
	limit, cancel := context.WithTimeout(limit, grace-stopMargin)
	defer cancel()
	// The platform notices after two questions a second apart.
	_ = clock.Sleep(limit, e.Clock, noticeTime)
	if err := e.callers.Shutdown(limit); err != nil {
		e.Log.Info("RequestsCut", "Reason", err.Error())
		_ = e.callers.Close()
	}
	_ = e.readiness.Close()
	_ = e.exposed.Close()
	farewell, end := context.WithTimeout(context.Background(), farewellTime)
	defer end()
	e.group.Farewell(farewell)
}

// farewellTime bounds the last word to other daemons.
const farewellTime = 300 * time.Millisecond

// noticeTime is how long the platform goes on to send callers to a daemon that
// is no longer ready.
const noticeTime = 2500 * time.Millisecond

// announce writes the own record, so that other daemons find this one.
func (e *Entry) announce(ctx context.Context) {
	value, err := msgpack.Marshal(e.self)
	if err != nil {
		e.Log.Error(err, "OwnRecordNotEncoded")
		return
	}
	for {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		err := e.store.Put(call, membersTopic, e.self.Name, value)
		cancel()
		if err == nil {
			return
		}
		e.Count("Announcements.Failed", 1)
		if clock.Sleep(ctx, e.Clock, announcePause) != nil {
			return
		}
	}
}

// zonesPeriod is the time between two looks for zones of which nothing is heard.
const zonesPeriod = 200 * time.Millisecond

// watchZones tells the balancer of which zones no daemon is heard.
func (e *Entry) watchZones(ctx context.Context) {
	for clock.Sleep(ctx, e.Clock, zonesPeriod) == nil {
		e.balancer.SetMuteZones(e.group.MuteZones())
	}
}

// clean closes connections to runners that are not used any more.
func (e *Entry) clean(ctx context.Context) {
	for clock.Sleep(ctx, e.Clock, cleanPeriod) == nil {
		e.upstream.CloseIdle()
	}
}
