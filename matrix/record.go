package matrix

import (
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/dispatch"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// Run is one request that a backend server has run.
type Run struct {
	Runner  string
	Request string
	Key     string
	Body    string
	// Answer is the body that belongs to the run of a plain service.
	Answer string
	Time   time.Time
	// Sequence orders all that is recorded.
	Sequence int
}

// ClientCall is one sending of a request to one daemon.
type ClientCall struct {
	Daemon  string
	Request request.Request
	// OutcomeCount counts how often the caller was told an outcome.
	OutcomeCount   int
	Result dispatch.Result
	// Ended is when the outcome was told, and Sequence its place among all
	// that is recorded.
	Ended    time.Time
	Sequence int
	HeadCount    int
	Body     string
	// Lost is true when the daemon died before it told an outcome.
	Lost bool
	// Returned is true when the sending is over.
	Returned bool
}

// Stop is a planned stop of a daemon.
type Stop struct {
	Daemon string
	// Err is why the daemon did not end all its requests, or nil.
	Err error
}

// View is the configuration of a daemon at one moment.
type View struct {
	Daemon string
	Offset uint64
	// Priority is that of the only allowance, which each accepted change
	// sets to its own value.
	Priority int
	// State is the whole configuration, encoded.
	State string
}

// Record is what the fakes have seen in one case.
type Record struct {
	mu       sync.Mutex
	sequence int

	Runs     []Run
	Crashes  []Run
	Calls []*ClientCall
	Stops    []Stop
	// NoticedAt holds when reclaims were announced, by backend server.
	NoticedAt map[string]time.Time
	// Faults counts what else than announced reclaims was caused.
	Faults int
	// Views holds the configurations in the order in which they were seen.
	Views []View
	// Accepted are the priorities of the changes whose operators were told
	// that they are accepted, in their order.
	Accepted []int
	// Final holds the last view of each daemon that reaches the log or a peer
	// at the end.
	Final []View
	// Orders holds the orders in the order in which they were begun.
	Orders []Order
	// Hung names what did not end within the bound of the case.
	Hung []string
	// Expected holds deviations from what the case itself expects.
	Expected []string
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

// addFault notes that something else than an announced reclaim is caused.
func (r *Record) addFault() { r.update(func() { r.Faults++ }) }

// expect notes a deviation from what the case expects.
func (r *Record) expect(holds bool, deviation string) {
	if !holds {
		r.update(func() { r.Expected = append(r.Expected, deviation) })
	}
}

// addView notes a configuration, unless it is the daemon's last one.
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
