package capacity

import (
	"math"
	"slices"
	"time"
)

const (
	// refreshPeriod is the time between two computations of the estimates.
	refreshPeriod = 200 * time.Millisecond
	// curveFading is the factor by which an interval reduces the weights of a runner's curve, so that it
	// halves in 20 s: a change of speed then does not pass for a knee for long.
	curveFading = 0.979
	// minCenterWeight is the weight from which on a runner counts for the center.
	minCenterWeight = 2
)

// Refresh computes the estimates anew, if that was not done lately.
func (l *Learner) Refresh(now time.Time) {
	if passed := now.Sub(l.refreshed); !l.refreshed.IsZero() && passed >= 0 && passed < refreshPeriod {
		return
	}
	l.refreshed = now
	number := l.intervalAt(now)
	for _, r := range l.ordered {
		r.read(number)
	}
	for _, t := range l.typicals {
		l.center(t)
		t.isUneven = false
	}
	if number > l.number {
		l.number = number
		l.endInterval()
	}
	for _, r := range l.ordered {
		r.update()
		r.setEstimate()
		r.typical.isUneven = r.typical.isUneven || r.share != 1
	}
	l.reportChanges(now)
}

// endInterval updates what changes once for each interval.
func (l *Learner) endInterval() {
	for _, t := range l.typicals {
		t.updateKnee()
	}
	for _, r := range l.ordered {
		r.endInterval()
	}
}

// center sets the center of a service to the median over its runners.
func (l *Learner) center(t *typical) {
	l.middles = l.middles[:0]
	for _, r := range l.ordered {
		if r.typical == t && r.samples >= minCenterWeight {
			l.middles = append(l.middles, r.middle)
		}
	}
	count := len(l.middles)
	if count == 0 {
		return
	}
	slices.Sort(l.middles)
	t.center = (l.middles[(count-1)/2] + l.middles[count/2]) / 2
}

const (
	// changePeriod is the shortest time between two reports of one runner's changes, and
	// maxChanges bounds those of one refresh.
	changePeriod = 5 * time.Second
	maxChanges   = 2
)

// changeLog is the difference of two speeds that is reported.
var changeLog = math.Log1p(0.25)

// reportChanges passes the changes of estimates to OnChange.
func (l *Learner) reportChanges(now time.Time) {
	if l.options.OnChange == nil {
		return
	}
	reported := 0
	for _, r := range l.ordered {
		isReturn := r.estimate.Speed == 1 && r.reported.Speed != 1
		hasChanged := isReturn || math.Abs(math.Log(r.estimate.Speed/r.reported.Speed)) > changeLog || r.estimate.Knee != r.reported.Knee
		if !hasChanged || !r.reportedAt.IsZero() && now.Sub(r.reportedAt) < changePeriod {
			continue
		}
		l.options.OnChange(Change{Runner: r.name, Before: r.reported, After: r.estimate})
		r.reported, r.reportedAt = r.estimate, now
		if reported++; reported == maxChanges {
			return
		}
	}
}
