package entry

import (
	"net"
	"net/http"
	"time"

	"github.com/cranberrywalk/cranberrywalk/buffer"
	"github.com/cranberrywalk/cranberrywalk/callerserver"
	"github.com/cranberrywalk/cranberrywalk/platform"
	"github.com/cranberrywalk/cranberrywalk/portlimit"
)

// maxHeaderTime bounds the time to read a request header, independently of the configuration.
const maxHeaderTime = 60 * time.Second

// addServers adds the servers for callers, metrics and readiness.
func (e *Entry) addServers() {
	headers := buffer.New(buffer.HeaderOptionsFor(e.settings.MemoryBytes))
	e.callers = callerserver.New(e.Common, callerserver.Options{
		MaxHeaderTime: maxHeaderTime, Timeouts: e.callerTimeouts, CallersLearnWithin: e.callersLearnWithin(),
		HeaderLimit: e.headerLimit, Headers: headers, MaxConnections: maxCallerConnections(e.settings),
	}, e.gateway)
	e.metrics.RegisterGauge("request_header_bytes", "Memory of long header sections of requests.", func() float64 {
		return float64(headers.HeldBytes())
	})
	e.addGauges()
	e.metricsServer = portlimit.NewServer(e.metricsHandler())
	e.readinessServer = portlimit.NewServer(http.HandlerFunc(e.serveReadiness))
}

// headerLimit returns the number of bytes of names and values that a header section may have by the
// current configuration, or zero.
func (e *Entry) headerLimit() int {
	current := e.gateway.Catalog()
	if current == nil {
		return 0
	}
	return current.Limits().MaxHeaderBytes
}

// addGauges adds the gauges of what the daemon holds and knows.
func (e *Entry) addGauges() {
	e.metrics.RegisterGauge("runners_age_seconds", "Time since the runners were last read.", func() float64 {
		return e.runnersAge().Seconds()
	})
	e.metrics.RegisterGauge("store_epoch", "Number of times that the store was restored from an older copy.", func() float64 {
		return float64(e.feedsByTopic[platform.ConfigurationTopic].End().Epoch)
	})
	e.metrics.RegisterGauge("idle_limit_seconds", "How long a connection to a runner may be idle to be reused for any request, or 0.", func() float64 {
		return e.upstream.IdleLimit().Seconds()
	})
	e.metrics.RegisterGauge("buffered_answer_bytes", "Bytes of answers that are held in long buffers.", func() float64 {
		return float64(e.budget.HeldBytes())
	})
	e.metrics.RegisterGauge("request_body_bytes", "Bytes of long bodies of requests that are held.", func() float64 {
		return float64(e.bodies.HeldBytes())
	})
	e.metrics.RegisterGauge("caller_connections", "Connections of callers that are open.", func() float64 {
		return float64(e.callers.OpenConnections())
	})
	e.metrics.RegisterGauge("caller_connection_bytes", "Memory of the open connections of callers.", func() float64 {
		return float64(e.callers.OpenConnections() * buffer.ConnectionBytes)
	})
	e.metrics.RegisterGauge("caller_connection_limit", "How many connections of callers may be open.", func() float64 {
		return float64(maxCallerConnections(e.settings))
	})
	e.metrics.RegisterGauge("peer_connections", "Connections of other daemons that are open.", func() float64 {
		return float64(e.peerPort.Load().Count())
	})
	e.metrics.RegisterGauge("peer_message_bytes", "Bytes of long messages of other daemons that are not answered.", func() float64 {
		return float64(e.messages.HeldBytes())
	})
	e.metrics.RegisterGauge("limited_runners", "Runners that have named how many requests a second they take.", func() float64 {
		return float64(e.balancer.LimitedRunners())
	})
	e.addAdmissionGauges()
	e.metrics.RegisterRunnerGauge("runner_speed", "Speed of a runner relative to what is typical of its service.", func(yield func(string, float64)) {
		for _, estimate := range e.balancer.Estimates() {
			yield(estimate.Runner, estimate.Speed)
		}
	})
	e.metrics.RegisterRunnerGauge("runner_knee", "Part of its slots up to which a runner does not slow down.", func(yield func(string, float64)) {
		for _, estimate := range e.balancer.Estimates() {
			yield(estimate.Runner, estimate.Knee)
		}
	})
}

// limitPeers bounds the connections of other daemons and their messages.
func (e *Entry) limitPeers(listener net.Listener) net.Listener {
	limited := portlimit.New(e.Common, portlimit.Options{
		Name: "Peers", MaxConnections: maxPeerConnections(e.settings), Requests: e.messages,
	}, listener)
	e.peerPort.Store(limited)
	return limited
}
