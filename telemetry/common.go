// Package telemetry holds what every part needs to be observed: a logger, a
// registry of metrics, a clock and the recorder of the time line.
package telemetry

import (
	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/cranberrywalk/cranberrywalk/clock"
)

// Common is handed to the constructor of every part.
type Common struct {
	// Log gets a line on a change of state only.
	Log klog.Logger
	// Metrics gets a counter for everything that repeats.
	Metrics metrics.Registry
	// Clock is the only source of time.
	Clock clock.Clock
	// Events records events of the time line.
	Events Recorder
}

// Event is a fact for the time line. Empty fields do not apply.
type Event struct {
	// Kind names the event, for example RequestAccepted.
	Kind string
	// Request is the identity of the request.
	Request  string
	Customer string
	// Backend is the VM name of the backend server.
	Backend string
	// Detail holds further facts in plain words.
	Detail string
}

// Recorder takes events of the time line. It never blocks.
type Recorder interface {
	Record(event Event)
}

// Discard is a Recorder that drops every event.
type Discard struct{}

// Record implements Recorder.
func (Discard) Record(Event) {}

// NewCommon returns a Common on the machine's clock without a time line.
func NewCommon() Common {
	return Common{
		Log:     klog.Background(),
		Metrics: metrics.NewRegistry(),
		Clock:   clock.Real(),
		Events:  Discard{},
	}
}

// Count adds n to the counter of that name.
func (c Common) Count(name string, n int64) {
	metrics.GetOrRegisterCounter(name, c.Metrics).Inc(n)
}
