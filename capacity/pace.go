package capacity

import (
	"math"
	"time"
)

const (
	// paceLifetime is how long a figure of a VM's pace holds.
	paceLifetime = 400 * time.Millisecond
	// paceTimeConstant is that of the short average, and usualPaceTimeConstant that of the average
	// against which it is held.
	paceTimeConstant      = 150 * time.Millisecond
	usualPaceTimeConstant = 20 * time.Second
	// maxLogPace bounds the effect of a figure.
	maxLogPace = math.Ln2
)

// pace is what a runner says of the pace of its VM, in logarithms. Only its difference from the
// runner's own average counts, so that a constant figure is no advantage.
type pace struct {
	at          time.Time
	short, long float64
}

// observe adds a figure, which is above zero.
func (p *pace) observe(figure float64, now time.Time) {
	if !p.at.IsZero() && now.Before(p.at) {
		return
	}
	value := math.Log(figure)
	if p.at.IsZero() {
		*p = pace{at: now, short: value, long: value}
		return
	}
	passed := now.Sub(p.at).Seconds()
	p.short += (1 - math.Exp(-passed/paceTimeConstant.Seconds())) * (value - p.short)
	p.long += (1 - math.Exp(-passed/usualPaceTimeConstant.Seconds())) * (value - p.long)
	p.at = now
}

// slowness returns the logarithm of the time that work takes now, relative to the usual. It is 0
// without a recent figure.
func (p *pace) slowness(now time.Time) float64 {
	age := now.Sub(p.at)
	if p.at.IsZero() || age < 0 || age >= paceLifetime {
		return 0
	}
	left := 1 - age.Seconds()/paceLifetime.Seconds()
	return left * min(max(p.short-p.long, -maxLogPace), maxLogPace)
}
