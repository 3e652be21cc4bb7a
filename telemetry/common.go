// Package telemetry holds the dependencies that all components share: a logger, a
// metrics registry, a clock and the recorder of the time line.
package telemetry

import (
	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/cranberrywalk/cranberrywalk/clock"
)

// Common is passed to the constructor of every component.
type Common struct {
	// Log is for changes of state only; recurring events are counted in Metrics.
	Log klog.Logger
	// Metrics holds counters for all recurring events.
	Metrics metrics.Registry
	// Clock is the only source of time, so that tests can use a fake one.
	Clock clock.Clock
	// Events records events of the time line.
	Events Recorder
}

// Event is an event of the time line. Fields that do not apply are empty.
type Event struct {
	// Kind names the event, for example RequestAccepted.
	Kind string
	// Request is the ID of the request.
	Request  string
	Customer string
	// Backend is the VM name of the backend server.
	Backend string
	// Detail holds further information as free text.
	Detail string
}

// Recorder records events of the time line. Record must not block.
type Recorder interface {
	Record(event Event)
}

// Discard is a Recorder that discards every event.
type Discard struct{}

// Record implements Recorder.
func (Discard) Record(Event) {}

// NewCommon returns a Common with the machine's clock that discards events.
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
