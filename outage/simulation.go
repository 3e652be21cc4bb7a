package outage

import (
	"strconv"
	"time"

	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// incarnation is the same for all processes, since a failed VM never restarts.
const incarnation = "1"

// epoch is the simulated time at the start of each run.
var epoch = time.Unix(1_000_000_000, 0).UTC()

// simulation is the state that the protocols share: the time, the connectivity, the
// keys that have run and the counters.
type simulation struct {
	scenario Scenario
	elapsed  time.Duration
	// writes counts how often each key was written to a backend server.
	writes map[claim.Key]int
	// answerHolder maps a key to the daemon that holds its answer.
	answerHolder map[claim.Key]int
	result       *Result
}

// protocol is the implementation of a Design.
type protocol interface {
	// maintain is called once per second.
	maintain()
	// serve brings the calls that arrive in one tick to their outcomes.
	serve(calls []*activeCall)
}

// activeCall is a call that a daemon serves.
type activeCall struct {
	key     claim.Key
	daemon  int
	machine request.Machine
}

func newActiveCall(key claim.Key, daemon int) *activeCall {
	return &activeCall{key: key, daemon: daemon, machine: request.NewMachine(request.Request{Key: key})}
}

// applyEvents applies events to the state machine of the call. It counts rejected
// events, which would be a fault of the simulation.
func (s *simulation) applyEvents(c *activeCall, kinds ...request.EventKind) {
	for _, kind := range kinds {
		event := request.Event{Kind: kind}
		if kind == request.AttemptBegan || kind == request.AnswerWhole {
			event.Attempt = 1
		}
		next, err := c.machine.Apply(event)
		if err != nil {
			s.result.Rejected++
		}
		c.machine = next
	}
}

// run writes a call to a backend server from a daemon.
func (s *simulation) run(c *activeCall, daemon int) {
	s.writes[c.key]++
	if s.writes[c.key] > 1 {
		s.result.RunTwice++
	}
	s.answerHolder[c.key] = daemon
	s.applyEvents(c, request.ClaimWon, request.AttemptBegan, request.AnswerWhole)
}

// relayAnswer asks the winner of the key for its answer after a lost claim.
func (s *simulation) relayAnswer(c *activeCall, from int, winner claim.Claim) {
	s.applyEvents(c, request.ClaimLost)
	holder := daemonIndex(winner.Daemon)
	if holder != from {
		if !s.canReach(from, holder) {
			s.applyEvents(c, request.GivenUp)
			return
		}
		s.result.Hops++
	}
	if at, found := s.answerHolder[c.key]; found && at == holder {
		s.applyEvents(c, request.RelayAnswered)
		return
	}
	// The holder has given up its claim without a write.
	s.applyEvents(c, request.RelayNotRun)
}

func (s *simulation) now() time.Time { return epoch.Add(s.elapsed) }

func (s *simulation) hasFailed(daemon int) bool { return s.scenario.hasFailed(daemon, s.elapsed) }

func (s *simulation) canReachLog(daemon int) bool { return s.scenario.canReachLog(daemon, s.elapsed) }

func (s *simulation) canReach(from, to int) bool { return s.scenario.canReach(from, to, s.elapsed) }

// live returns the daemons to which the load balancer sends calls. It detects failed
// VMs, but not an isolated zone.
func (s *simulation) live() []int {
	var live []int
	for daemon := range daemonCount {
		if !s.hasFailed(daemon) {
			live = append(live, daemon)
		}
	}
	return live
}

func daemonName(daemon int) string { return "daemon" + strconv.Itoa(daemon) }

// daemonIndex returns the daemon with a name, or noIndex.
func daemonIndex(name string) int {
	for daemon := range daemonCount {
		if daemonName(daemon) == name {
			return daemon
		}
	}
	return noIndex
}
