package outage

import (
	"math"

	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// logClaims decides on a key by the first claim on the log.
type logClaims struct {
	*simulation
	log    []hosting.Record
	states [daemonCount]*claim.State
	// nextSequence holds the next claim number of each daemon.
	nextSequence [daemonCount]uint64
	// decisions holds the results of each daemon's own claims by number.
	decisions [daemonCount]map[uint64]claim.Decision
}

func newLogClaims(s *simulation) protocol {
	d := &logClaims{simulation: s}
	options := claim.Options{Lifetime: lifetime, MaxClaims: math.MaxInt}
	for i := range d.states {
		d.states[i] = claim.NewState(options, 0)
		d.nextSequence[i] = 1
		d.decisions[i] = make(map[uint64]claim.Decision)
	}
	return d
}

func (d *logClaims) maintain() {}

// serve relays calls whose key has a winner in the state, and refuses the others
// at daemons that cannot reach the log. It claims the remaining keys with one append
// for each daemon.
func (d *logClaims) serve(calls []*activeCall) {
	var waiting [daemonCount][]*activeCall
	for _, c := range calls {
		d.catchUp(c.daemon)
		winner, found := d.states[c.daemon].Lookup(c.key, d.now())
		switch {
		case found:
			d.relayAnswer(c, c.daemon, winner)
		case !d.canReachLog(c.daemon):
			d.applyEvents(c, request.GivenUp)
		default:
			waiting[c.daemon] = append(waiting[c.daemon], c)
		}
	}
	var first [daemonCount]uint64
	for daemon, claiming := range waiting {
		first[daemon] = d.append(daemon, claiming)
	}
	for daemon, claiming := range waiting {
		d.catchUp(daemon)
		for i, c := range claiming {
			d.finish(c, d.decisions[daemon][first[daemon]+uint64(i)])
		}
		clear(d.decisions[daemon])
	}
}

// append appends the claims of one daemon and returns the number of the first one.
func (d *logClaims) append(daemon int, claiming []*activeCall) uint64 {
	first := d.nextSequence[daemon]
	if len(claiming) == 0 {
		return first
	}
	record := claim.Record{Daemon: daemonName(daemon), Incarnation: incarnation, Sequence: first}
	for _, c := range claiming {
		record.Claims = append(record.Claims, claim.Entry{Key: c.key})
	}
	payload, err := record.Encode()
	if err != nil {
		d.result.Rejected++
	}
	d.log = append(d.log, hosting.Record{Offset: uint64(len(d.log)), Payload: payload, Time: d.now()})
	d.nextSequence[daemon] = record.LastNumber() + 1
	d.result.Appends++
	d.result.Claims += len(claiming)
	return first
}

func (d *logClaims) finish(c *activeCall, decision claim.Decision) {
	switch {
	case decision.Won:
		d.run(c, c.daemon)
	case decision.Err != nil:
		d.applyEvents(c, request.GivenUp)
	default:
		d.relayAnswer(c, c.daemon, decision.Winner)
	}
}

// catchUp applies the log up to its end to the state of a daemon that can reach it.
func (d *logClaims) catchUp(daemon int) {
	if !d.canReachLog(daemon) {
		return
	}
	state := d.states[daemon]
	for state.Next() < uint64(len(d.log)) {
		decisions, err := state.Apply(d.log[state.Next()])
		if err != nil {
			d.result.Rejected++
		}
		for _, decision := range decisions {
			if decision.Claim.Daemon == daemonName(daemon) {
				d.decisions[daemon][decision.Claim.Number] = decision
			}
		}
	}
}
