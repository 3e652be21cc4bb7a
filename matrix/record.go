package matrix

import (
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/dispatch"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// Run is one run of a request by a backend server.
type Run struct {
	Runner  string
	Request string
	Key     string
	Body    string
	// Answer is the response body of the run, if a plain service was called.
	Answer string
	Time   time.Time
	// Sequence is the position among all recorded runs and outcomes.
	Sequence int
}

// ClientCall is one call of a caller to one daemon.
type ClientCall struct {
	Daemon  string
	Request request.Request
	// OutcomeCount counts the outcomes that the caller received.
	OutcomeCount int
	Result       dispatch.Result
	// Ended is the time at which the caller received the outcome, and Sequence the
	// position of the outcome among all recorded runs and outcomes.
	Ended     time.Time
	Sequence  int
	HeadCount int
	Body      string
	// Lost is true if the daemon died before it returned an outcome.
	Lost bool
	// Returned is true once the dispatcher has returned.
	Returned bool
}

// Stop is a planned stop of a daemon.
type Stop struct {
	Daemon string
	// Err is the reason why the daemon did not finish all its requests, or nil.
	Err error
}

// View is the configuration of a daemon at one point in time.
type View struct {
	Daemon string
	Offset uint64
	// Priority is the priority of the only allowance. Each change sets its own
	// value, so that it identifies the last accepted change.
	Priority int
	// State is the encoded configuration.
	State string
}

// Record holds what the fakes have observed in one case.
type Record struct {
	mu       sync.Mutex
	sequence int

	Runs    []Run
	Crashes []Run
	Calls   []*ClientCall
	Stops   []Stop
	// NoticedAt holds the time of the reclaim notice of each backend server.
	NoticedAt map[string]time.Time
	// Faults counts the injected faults other than announced reclaims.
	Faults int
	// Views holds the configurations in the order in which they were observed.
	Views []View
	// Accepted holds the priorities of the accepted changes, in the order in which
	// the operators received the verdicts.
	Accepted []int
	// Final holds the last view of each daemon that reaches the log or a peer at
	// the end.
	Final []View
	// Orders holds the orders in the sequence in which daemons started to send them.
	Orders []Order
	// Hung names the calls that did not return within caseBound.
	Hung []string
	// Deviations holds the failed expectations of the case's own script.
	Deviations []string
}

func (r *Record) nextSequence() int {
	r.sequence++
	return r.sequence
}

func (r *Record) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

func (r *Record) addRun(run Run, now time.Time) Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Time, run.Sequence = now, r.nextSequence()
	r.Runs = append(r.Runs, run)
	return run
}

func (r *Record) addCrash(run Run) {
	r.update(func() { r.Crashes = append(r.Crashes, run) })
}

// addFault counts an injected fault other than an announced reclaim.
func (r *Record) addFault() { r.update(func() { r.Faults++ }) }

// expect records the deviation unless the expectation holds.
func (r *Record) expect(holds bool, deviation string) {
	if !holds {
		r.update(func() { r.Deviations = append(r.Deviations, deviation) })
	}
}

// addView records a configuration unless it equals the daemon's last one.
func (r *Record) addView(view View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.Views) - 1; i >= 0; i-- {
		if r.Views[i].Daemon == view.Daemon {
			if r.Views[i] == view {
				return
			}
			break
		}
	}
	r.Views = append(r.Views, view)
}
