package outage

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// Design is a way to agree on keys.
type Design struct {
	// Name describes it.
	Name  string
	start func(*world) design
}

// Designs returns all designs in the order of the table. The memory delays
// are below and above the time that proof of a VM's death takes.
func Designs() []Design {
	return []Design{
		{"claims on the log", newLogClaims},
		{"owned ranges, 15 s", func(w *world) design { return newRanges(w, 15*time.Second) }},
		{"owned ranges, 120 s", func(w *world) design { return newRanges(w, 120*time.Second) }},
	}
}

// Ends counts how calls ended.
type Ends struct {
	Calls   int
	NotRun  int
	Unknown int
}

// Result is what a run counted.
type Result struct {
	// During is the window of the fault, After the same time after it.
	During Ends
	After  Ends
	// Calls are all sends, Claims are keys claimed, Appends the appends to the log, Hops the
	// requests between daemons, over the whole run.
	Calls   int
	Claims  int
	Appends int
	Hops    int
	// Passed are the ranges that a death passed on, Holes those of them
	// whose history has a hole.
	Passed int
	Holes  int
	// RunTwice counts writes under a key that had been written before.
	RunTwice int
	// Misapplied counts events that a state machine or a fold refused. It
	// is a check of the rig.
	Misapplied int
}

// Run returns what one design does in one scenario.
func Run(scenario Scenario, d Design, seed uint64) Result {
	result := &Result{}
	w := &world{
		scenario: scenario, result: result,
		runs: make(map[claim.Key]int), answered: make(map[claim.Key]int),
	}
	running, calls := d.start(w), newLoad(scenario.Rate, seed)
	for ; w.elapsed < total; w.elapsed += tick {
		if w.elapsed%time.Second == 0 {
			running.maintain()
		}
		count := 0
		for count < len(calls) && calls[count].at == w.elapsed {
			count++
		}
		if count > 0 {
			w.serve(running, calls[:count])
			calls = calls[count:]
		}
	}
	return *result
}

// serve hands calls to random live daemons and counts how they end.
func (w *world) serve(running design, calls []call) {
	live := w.live()
	batch := make([]*served, 0, len(calls))
	for _, c := range calls {
		batch = append(batch, newServed(c.key, live[c.pick%len(live)]))
	}
	running.serve(batch)
	for _, s := range batch {
		w.count(s.machine.Outcome())
	}
}

func (w *world) count(outcome request.Outcome) {
	w.result.Calls++
	ends := &w.result.During
	switch {
	case w.elapsed < warmUp:
		return
	case !isInWindow(w.elapsed):
		ends = &w.result.After
	}
	ends.Calls++
	switch outcome {
	case request.NotRun:
		ends.NotRun++
	case request.Unknown:
		ends.Unknown++
	}
}
