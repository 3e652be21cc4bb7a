package outage

import (
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/grant"
	"github.com/cranberrywalk/cranberrywalk/request"
)

const (
	// heartbeatInterval is how often an owner appends its claims that are not in
	// the log, or a record that only shows that it is alive.
	heartbeatInterval = 5 * time.Second
	// proofDelay is the time after the failure of a VM at which its absence from the
	// VM list counts as proof of death: the lag of the list and a safety margin.
	proofDelay = 90 * time.Second
	// lifetime is the time after which the claim of a key expires.
	lifetime = 24 * time.Hour
)

// logEntry is a record of the log.
type logEntry struct {
	at     time.Time
	record grant.Record
}

// ownedRanges decides on a key at the owner of its range.
type ownedRanges struct {
	*simulation
	log    []logEntry
	states [daemonCount]*grant.State
	owners [daemonCount]*grant.Owner
	// nextOffsets holds the offset of the next record to apply at each daemon.
	nextOffsets [daemonCount]int
	// unlogged holds, for each daemon, its ranges with claims that may not be in the
	// log.
	unlogged [daemonCount]map[grant.Range]bool
}

func newOwnedRanges(s *simulation, memoryDelay time.Duration) protocol {
	d := &ownedRanges{simulation: s}
	for i := range d.owners {
		d.states[i] = grant.NewState(grant.Options{Lifetime: lifetime, MemoryDelay: memoryDelay})
		d.owners[i] = grant.NewOwner(daemonName(i), incarnation, d.states[i])
		d.unlogged[i] = make(map[grant.Range]bool)
	}
	for r := range grant.Range(grant.RangeCount) {
		taker := daemonIndex(grant.Preferred(r, d.daemonNames(s.live())))
		d.append(d.owners[taker].Take(r, grant.ProofNone, "", d.now()))
		d.catchUp(taker)
	}
	return d
}

func (d *ownedRanges) daemonNames(daemons []int) []string {
	var names []string
	for _, daemon := range daemons {
		names = append(names, daemonName(daemon))
	}
	return names
}

// maintain sends the heartbeats and takes over the ranges of a failed daemon.
func (d *ownedRanges) maintain() {
	if d.elapsed%heartbeatInterval == 0 {
		for _, daemon := range d.live() {
			d.sendHeartbeat(daemon)
		}
	}
	if failed := d.scenario.FailedDaemon; failed != noIndex && d.elapsed >= warmUp+d.scenario.FailureDelay+proofDelay {
		d.takeOver(failed)
	}
}

// sendHeartbeat appends a record for each range with claims that may not be in the
// log, or one record without claims if there is no such range.
func (d *ownedRanges) sendHeartbeat(daemon int) {
	if !d.canReachLog(daemon) {
		return
	}
	d.catchUp(daemon)
	pending := make([]grant.Range, 0, len(d.unlogged[daemon]))
	for r := range d.unlogged[daemon] {
		pending = append(pending, r)
	}
	slices.Sort(pending)
	if len(pending) == 0 {
		pending = append(pending, d.firstOwned(daemon))
	}
	for _, r := range pending {
		d.append(d.owners[daemon].Unappended(r, d.now()))
		d.result.Appends++
	}
	clear(d.unlogged[daemon])
	d.catchUp(daemon)
}

func (d *ownedRanges) firstOwned(daemon int) grant.Range {
	for r := range grant.Range(grant.RangeCount) {
		if d.states[daemon].CurrentGrant(r).IsOwnedBy(daemonName(daemon), incarnation) {
			return r
		}
	}
	return 0
}

// takeOver transfers the ranges of a failed daemon to daemons that can reach the log.
func (d *ownedRanges) takeOver(failed int) {
	var candidates []int
	for _, daemon := range d.live() {
		if d.canReachLog(daemon) {
			candidates = append(candidates, daemon)
		}
	}
	if len(candidates) == 0 {
		return
	}
	for _, daemon := range candidates {
		d.catchUp(daemon)
	}
	for r := range grant.Range(grant.RangeCount) {
		if d.states[candidates[0]].CurrentGrant(r).Daemon != daemonName(failed) {
			continue
		}
		taker := daemonIndex(grant.Preferred(r, d.daemonNames(candidates)))
		d.append(d.owners[taker].Take(r, grant.ProofVMGone, "", d.now()))
		d.result.Appends++
		d.catchUp(taker)
		d.result.TakenOver++
		if d.states[taker].CurrentGrant(r).HoleUntil.After(d.now()) {
			d.result.Holes++
		}
	}
}

func (d *ownedRanges) append(record grant.Record) {
	d.log = append(d.log, logEntry{at: d.now(), record: record})
}

// catchUp applies the log up to its end to the state of a daemon that can reach it.
func (d *ownedRanges) catchUp(daemon int) {
	if !d.canReachLog(daemon) {
		return
	}
	for ; d.nextOffsets[daemon] < len(d.log); d.nextOffsets[daemon]++ {
		next := d.log[d.nextOffsets[daemon]]
		if d.owners[daemon].Apply(uint64(d.nextOffsets[daemon]), next.at, next.record, d.now()) != nil {
			d.result.Rejected++
		}
	}
}

// wonCall is a call whose key was won, with the owner that is to run it.
type wonCall struct {
	call  *activeCall
	owner int
	claim claim.Claim
}

// serve forwards calls to the owners of their ranges. The owners append the new
// claims, one record for each range, and run the calls that they may write.
func (d *ownedRanges) serve(calls []*activeCall) {
	var won []wonCall
	var lost []func()
	for _, c := range calls {
		owner, found := d.forward(c)
		if !found {
			d.applyEvents(c, request.GivenUp)
			continue
		}
		decision, err := d.owners[owner].Decide(c.key, 0, d.now())
		switch {
		case err != nil:
			d.applyEvents(c, request.GivenUp)
		case decision.Won:
			d.unlogged[owner][grant.RangeOf(c.key)] = true
			won = append(won, wonCall{c, owner, decision.Claim})
		default:
			lost = append(lost, func() { d.relayAnswer(c, owner, decision.Winner) })
		}
	}
	d.appendClaims(won)
	for _, w := range won {
		d.finish(w)
	}
	for _, relay := range lost {
		relay()
	}
}

// forward returns the owner of the call's range, and false if the daemon cannot
// reach it.
func (d *ownedRanges) forward(c *activeCall) (int, bool) {
	d.catchUp(c.daemon)
	owner := daemonIndex(d.states[c.daemon].CurrentGrant(grant.RangeOf(c.key)).Daemon)
	if owner == c.daemon {
		return owner, true
	}
	if owner == noIndex || !d.canReach(c.daemon, owner) {
		return noIndex, false
	}
	d.result.Hops++
	d.catchUp(owner)
	return owner, true
}

// appendClaims appends new claims, one record for each range.
func (d *ownedRanges) appendClaims(won []wonCall) {
	done := make(map[grant.Range]bool)
	for _, w := range won {
		d.result.Claims++
		r := grant.RangeOf(w.claim.Key)
		if done[r] || !d.canReachLog(w.owner) {
			continue
		}
		done[r] = true
		d.append(d.owners[w.owner].Unappended(r, d.now()))
		d.result.Appends++
		delete(d.unlogged[w.owner], r)
	}
	for _, w := range won {
		d.catchUp(w.owner)
	}
}

// finish runs a call, or withdraws its claim at once when the owner may not write
// yet.
func (d *ownedRanges) finish(w wonCall) {
	if d.owners[w.owner].MayWrite(w.claim, d.now()) {
		d.run(w.call, w.owner)
		return
	}
	d.owners[w.owner].Withdraw(w.claim)
	d.applyEvents(w.call, request.ClaimWon, request.GivenUp)
}
