package capacity

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/call"
)

// Kind is the kind of a sample.
type Kind int

// The kinds of samples.
const (
	// PlainCall is the time from the sending of a plain call to its answer.
	PlainCall Kind = iota
	// FirstEvent is the time from the sending of a call to the first event of its stream.
	FirstEvent
	// NextEvents is the time of the events after the first.
	NextEvents
	// kinds is the number of kinds.
	kinds int = iota
)

// Sample is one observation of the time that a runner took.
type Sample struct {
	Kind Kind
	Time time.Duration
	// Units is the work done in that time: the uncached prompt tokens of a FirstEvent, or the number
	// of events of NextEvents.
	Units int
	// Load is the load of the runner at that time.
	Load call.Load
}

// The bounds of what counts as a sample.
const (
	minSampleTime = 100 * time.Microsecond
	maxSampleTime = 2 * time.Minute
	maxUnits      = 1 << 24
	// MaxSlots bounds the figures of a Load.
	MaxSlots = 1 << 20
	// MinPace and MaxPace bound the pace of a Load.
	MinPace = 0.01
	MaxPace = 100
)

// isValid reports whether the sample can be used.
func (s Sample) isValid() bool {
	isTimed := s.Time >= minSampleTime && s.Time <= maxSampleTime
	hasUnits := s.Units >= 0 && s.Units <= maxUnits && (s.Kind != NextEvents || s.Units > 0)
	return isTimed && hasUnits && isValidLoad(s.Load)
}

// isValidLoad reports whether the load is one that a runner can have.
func isValidLoad(l call.Load) bool {
	isBounded := l.Running >= 0 && l.Running <= MaxSlots && l.Waiting >= 0 && l.Waiting <= MaxSlots && l.Slots <= MaxSlots
	hasPace := l.Pace == 0 || l.Pace >= MinPace && l.Pace <= MaxPace
	return l.IsKnown() && isBounded && hasPace
}
