package measure

import (
	"slices"
	"time"
)

// Scenario is a set of faults under which a workload runs.
type Scenario struct {
	Name string
	// reclaimAt is when all reclaimable VMs of a zone get their notice; 0 for
	// never.
	reclaimAt time.Duration
	// partitionAt is when one daemon loses contact with its peers; 0 for never.
	partitionAt time.Duration
	// eventDelay is the delay of cache events after their fetch.
	eventDelay time.Duration
	// eventLoss is the share of cache events that are lost.
	eventLoss float64
}

const (
	// warmUp is the time before a measurement, in which the caches fill.
	warmUp = 60 * time.Second
	// scenarioWindow is the measured time.
	scenarioWindow = 120 * time.Second
	// noticePeriod is the time from the notice of a reclaim to its deadline.
	noticePeriod = 5 * time.Second
	// noticePropagation is the time until all daemons have received a notice.
	noticePropagation = 300 * time.Millisecond
	// settleTime is the time after a zone's reclaim in which the latency targets
	// may be missed.
	settleTime    = 10 * time.Second
	reclaimedZone = 0
)

// Scenarios returns the scenarios in which every policy is measured.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "calm"},
		{Name: "zone wave", reclaimAt: warmUp},
		{Name: "daemon cut off", partitionAt: warmUp / 2},
		{Name: "late cache events", eventDelay: 3 * time.Second, eventLoss: 0.1},
	}
}

// startFaults schedules the faults of the scenario.
func (s *simulation) startFaults() {
	if s.scenario.partitionAt > 0 {
		s.loop.at(s.scenario.partitionAt, func() { s.daemons[0].partitioned = true })
	}
	if s.scenario.reclaimAt > 0 {
		s.loop.at(s.scenario.reclaimAt, s.reclaim)
	}
}

// reclaim gives notice to the reclaimable runners of a zone and stops them at
// the deadline.
func (s *simulation) reclaim() {
	deadline := s.loop.now + noticePeriod
	for _, e := range s.engines {
		if e.info.Zone != zoneName(reclaimedZone) || !e.info.Reclaimable {
			continue
		}
		s.loop.after(noticePropagation, func() { s.drain(e, deadline) })
		s.loop.at(deadline, func() { s.stop(e) })
	}
}

// movePeriod is the time before the deadline of a reclaim in which streams are
// moved.
const movePeriod = 2500 * time.Millisecond

// drain makes the daemons stop sending calls to a runner. It spreads the moves of
// its streams over the end of the notice period, when many have already ended.
func (s *simulation) drain(e *engine, deadline time.Duration) {
	for _, d := range s.daemons {
		d.view.SetLeaving(e.info.Name)
	}
	for _, c := range s.inFlight {
		if c.engine != e {
			continue
		}
		offset := time.Duration(s.faults.Int64N(int64(movePeriod)))
		s.loop.at(deadline-movePeriod+offset, func() {
			if c.engine == e {
				s.move(c)
			}
		})
	}
}

// stop stops a runner. Its remaining streams are resumed on other runners.
func (s *simulation) stop(e *engine) {
	e.stopped = true
	for _, c := range slices.Clone(s.inFlight) {
		if c.engine == e {
			s.move(c)
		}
	}
}

// move resumes a call on another runner as a continuation: the text generated so
// far is added to the prompt.
func (s *simulation) move(c *call) {
	c.engine.cancel(c)
	c.daemon.view.RecordEnd(&c.flight, s.now())
	c.route.PromptTokens = c.promptTokens + c.generatedTokens
	c.route.Resumed = true
	c.moves++
	s.movedCalls++
	s.send(c)
}
