package measure

import (
	"slices"
	"time"
)

// Scenario is a state of the network and the VMs under which a workload runs.
type Scenario struct {
	Name string
	// wave is when a zone's reclaimable VMs get their notice; 0 is never.
	wave time.Duration
	// cutOff is when one daemon loses its peers; 0 is never.
	cutOff time.Duration
	// eventDelay is the delay of cache events besides the fetching.
	eventDelay time.Duration
	// eventLoss is the share of cache events that are lost.
	eventLoss float64
}

const (
	// warmUp is the time before a measurement, in which caches fill.
	warmUp = 60 * time.Second
	// window is the time that is measured.
	window = 120 * time.Second
	// noticeTime is the time from the notice of a reclaim to its deadline.
	noticeTime = 5 * time.Second
	// noticeSpread is the time until all daemons know of a notice.
	noticeSpread = 300 * time.Millisecond
	// settleTime is the time after a wave until the target holds again.
	settleTime = 10 * time.Second
	// waveZone is the zone that is reclaimed.
	waveZone = 0
)

// Scenarios returns the scenarios that every policy is measured in.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "calm"},
		{Name: "zone wave", wave: warmUp},
		{Name: "daemon cut off", cutOff: warmUp / 2},
		{Name: "late cache events", eventDelay: 3 * time.Second, eventLoss: 0.1},
	}
}

// startFaults plans the faults of the scenario.
func (s *simulation) startFaults() {
	if s.scenario.cutOff > 0 {
		s.loop.at(s.scenario.cutOff, func() { s.daemons[0].cutOff = true })
	}
	if s.scenario.wave > 0 {
		s.loop.at(s.scenario.wave, s.reclaim)
	}
}

// reclaim gives notice to the reclaimable runners of a zone and stops them
// at the deadline.
func (s *simulation) reclaim() {
	deadline := s.loop.now + noticeTime
	for _, e := range s.engines {
		if e.info.Zone != zoneName(waveZone) || !e.info.Reclaimable {
			continue
		}
		s.loop.after(noticeSpread, func() { s.leave(e, deadline) })
		s.loop.at(deadline, func() { s.stop(e) })
	}
}

// moveTime is the time before the deadline of a reclaim in which streams move.
const moveTime = 2500 * time.Millisecond

// leave lets the daemons stop sending work to a runner, and spreads the moves
// of its streams over the end of the notice, when many have ended.
func (s *simulation) leave(e *engine, deadline time.Duration) {
	for _, d := range s.daemons {
		d.view.SetLeaving(e.info.Name)
	}
	for _, c := range s.active {
		if c.engine != e {
			continue
		}
		early := time.Duration(s.faults.Int64N(int64(moveTime)))
		s.loop.at(deadline-moveTime+early, func() {
			if c.engine == e {
				s.move(c)
			}
		})
	}
}

// stop ends a runner. Streams that are still there are resumed elsewhere.
func (s *simulation) stop(e *engine) {
	e.gone = true
	for _, c := range slices.Clone(s.active) {
		if c.engine == e {
			s.move(c)
		}
	}
}

// move resumes a call at another runner as a continuation: its prompt grows by
// the text so far.
func (s *simulation) move(c *call) {
	c.engine.cancel(c)
	c.daemon.view.Ended(&c.flight, s.time())
	c.route.PromptTokens = c.prompt + c.generated
	c.route.Resumed = true
	c.moves++
	s.moved++
	s.send(c)
}
