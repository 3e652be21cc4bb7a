package outage

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// Design is a way to decide which daemon may run a key.
type Design struct {
	Name  string
	start func(*simulation) protocol
}

// Designs returns all designs in the order of the table. The memory delays of the
// owned ranges are one below and one above proofDelay.
func Designs() []Design {
	return []Design{
		{"claims on the log", newLogClaims},
		{"owned ranges, 15 s", func(s *simulation) protocol { return newOwnedRanges(s, 15*time.Second) }},
		{"owned ranges, 120 s", func(s *simulation) protocol { return newOwnedRanges(s, 120*time.Second) }},
	}
}

// OutcomeCounts counts calls by outcome.
type OutcomeCounts struct {
	Calls   int
	NotRun  int
	Unknown int
}

// Result holds the counters of a run.
type Result struct {
	// During counts the calls in the fault window, After the calls in a window of
	// the same length after it.
	During OutcomeCounts
	After  OutcomeCounts
	// Calls counts all sends, Claims the claims that were made, Appends the appends
	// to the log and Hops the requests between daemons, over the whole run.
	Calls   int
	Claims  int
	Appends int
	Hops    int
	// TakenOver counts the ranges that were taken over from a failed daemon. Holes
	// counts the ranges that have a hole after the takeover.
	TakenOver int
	Holes     int
	// RunTwice counts writes to a backend server under a key that had been
	// written before.
	RunTwice int
	// Rejected counts events and records that a state machine or a claim or grant
	// state rejected, and records that could not be encoded. It is 0 unless the
	// simulation is wrong.
	Rejected int
}

// Run simulates one design in one scenario.
func Run(scenario Scenario, d Design, seed uint64) Result {
	result := &Result{}
	s := &simulation{
		scenario: scenario, result: result,
		writes: make(map[claim.Key]int), answerHolder: make(map[claim.Key]int),
	}
	running, calls := d.start(s), newWorkload(scenario.Rate, seed)
	for ; s.elapsed < runTime; s.elapsed += tick {
		if s.elapsed%time.Second == 0 {
			running.maintain()
		}
		count := 0
		for count < len(calls) && calls[count].arrivesAt == s.elapsed {
			count++
		}
		if count > 0 {
			s.serve(running, calls[:count])
			calls = calls[count:]
		}
	}
	return *result
}

// serve sends calls to random live daemons and counts their outcomes.
func (s *simulation) serve(running protocol, calls []keyedCall) {
	live := s.live()
	batch := make([]*activeCall, 0, len(calls))
	for _, c := range calls {
		batch = append(batch, newActiveCall(c.key, live[c.daemonPick%len(live)]))
	}
	running.serve(batch)
	for _, c := range batch {
		s.countOutcome(c.machine.Outcome())
	}
}

func (s *simulation) countOutcome(outcome request.Outcome) {
	s.result.Calls++
	counts := &s.result.During
	switch {
	case s.elapsed < warmUp:
		return
	case !inFaultWindow(s.elapsed):
		counts = &s.result.After
	}
	counts.Calls++
	switch outcome {
	case request.NotRun:
		counts.NotRun++
	case request.Unknown:
		counts.Unknown++
	}
}
