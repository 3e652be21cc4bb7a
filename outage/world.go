package outage

import (
	"strconv"
	"time"

	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// incarnation is that of all processes; a failed VM never returns.
const incarnation = "1"

// epoch is when each run begins.
var epoch = time.Unix(1_000_000_000, 0).UTC()

// world is what the designs share: the time, who reaches whom, which keys
// have run where, and the counters.
type world struct {
	scenario Scenario
	elapsed  time.Duration
	// runs has how often each key was written to a backend server.
	runs map[claim.Key]int
	// answered has the daemon that holds the answer of each key.
	answered map[claim.Key]int
	result   *Result
}

// design is one way to agree on keys.
type design interface {
	// maintain is called once a second.
	maintain()
	// serve ends calls that arrive within one tick.
	serve(calls []*served)
}

// served is a call at a daemon.
type served struct {
	key     claim.Key
	daemon  int
	machine request.Machine
}

func newServed(key claim.Key, daemon int) *served {
	return &served{key: key, daemon: daemon, machine: request.NewMachine(request.Request{Key: key})}
}

// apply passes events on to the machine of the call. An event that does not
// apply would be a mistake of the rig and is counted.
func (w *world) apply(s *served, kinds ...request.EventKind) {
	for _, kind := range kinds {
		event := request.Event{Kind: kind}
		if kind == request.AttemptBegan || kind == request.AnswerWhole {
			event.Attempt = 1
		}
		next, err := s.machine.Apply(event)
		if err != nil {
			w.result.Misapplied++
		}
		s.machine = next
	}
}

// run writes a call to a backend server at a daemon.
func (w *world) run(s *served, daemon int) {
	w.runs[s.key]++
	if w.runs[s.key] > 1 {
		w.result.RunTwice++
	}
	w.answered[s.key] = daemon
	w.apply(s, request.ClaimWon, request.AttemptBegan, request.AnswerWhole)
}

// relay asks the winner of a lost claim for its answer.
func (w *world) relay(s *served, from int, winner claim.Claim) {
	w.apply(s, request.ClaimLost)
	holder := indexOf(winner.Daemon)
	if holder != from {
		if !w.reaches(from, holder) {
			w.apply(s, request.GivenUp)
			return
		}
		w.result.Hops++
	}
	if at, found := w.answered[s.key]; found && at == holder {
		w.apply(s, request.RelayAnswered)
		return
	}
	// The holder has given its claim up before a write.
	w.apply(s, request.RelayNotRun)
}

func (w *world) now() time.Time { return epoch.Add(w.elapsed) }

func (w *world) isDead(daemon int) bool { return w.scenario.isDead(daemon, w.elapsed) }

func (w *world) reachesLog(daemon int) bool { return w.scenario.reachesLog(daemon, w.elapsed) }

func (w *world) reaches(from, to int) bool { return w.scenario.reaches(from, to, w.elapsed) }

// live returns the daemons to which the balancer hands calls: it knows which
// VMs have failed, and does not see a cut.
func (w *world) live() []int {
	var live []int
	for daemon := range daemonCount {
		if !w.isDead(daemon) {
			live = append(live, daemon)
		}
	}
	return live
}

func nameOf(daemon int) string { return "daemon" + strconv.Itoa(daemon) }

// indexOf returns the daemon of a name, or none.
func indexOf(name string) int {
	for daemon := range daemonCount {
		if nameOf(daemon) == name {
			return daemon
		}
	}
	return none
}
