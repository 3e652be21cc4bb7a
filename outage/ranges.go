package outage

import (
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/grant"
	"github.com/cranberrywalk/cranberrywalk/request"
)

const (
	// aliveInterval is how often an owner appends what the log lacks, or a
	// record that only shows that it lives.
	aliveInterval = 5 * time.Second
	// proofDelay is how long after its failure the absence of a VM from the
	// list counts as proof: the list's lag and the margin above it.
	proofDelay = 90 * time.Second
	// lifetime is that of a key.
	lifetime = 24 * time.Hour
)

// entry is a record of the log.
type entry struct {
	at     time.Time
	record grant.Record
}

// ranges agrees on a key by the owner of its range.
type ranges struct {
	*world
	log    []entry
	books  [daemonCount]*grant.Book
	owners [daemonCount]*grant.Owner
	// next are the offsets of the next records to fold.
	next [daemonCount]int
	// dirty are the ranges with claims that the log may lack.
	dirty [daemonCount]map[grant.Range]bool
}

func newRanges(w *world, memoryDelay time.Duration) design {
	d := &ranges{world: w}
	for i := range d.owners {
		d.books[i] = grant.NewBook(grant.Options{Lifetime: lifetime, MemoryDelay: memoryDelay})
		d.owners[i] = grant.NewOwner(nameOf(i), incarnation, d.books[i])
		d.dirty[i] = make(map[grant.Range]bool)
	}
	for r := range grant.Range(grant.Ranges) {
		taker := indexOf(grant.Preferred(r, d.names(w.live())))
		d.append(d.owners[taker].Take(r, grant.ProofNone, "", d.now()))
		d.fold(taker)
	}
	return d
}

func (d *ranges) names(daemons []int) []string {
	var names []string
	for _, daemon := range daemons {
		names = append(names, nameOf(daemon))
	}
	return names
}

// maintain appends what the log lacks and passes on the ranges of the dead.
func (d *ranges) maintain() {
	if d.elapsed%aliveInterval == 0 {
		for _, daemon := range d.live() {
			d.showAlive(daemon)
		}
	}
	if victim := d.scenario.Victim; victim != none && d.elapsed >= warmUp+d.scenario.DeathAfter+proofDelay {
		d.takeOver(victim)
	}
}

// showAlive appends the records of the ranges that need one, at least one.
func (d *ranges) showAlive(daemon int) {
	if !d.reachesLog(daemon) {
		return
	}
	d.fold(daemon)
	lacking := make([]grant.Range, 0, len(d.dirty[daemon]))
	for r := range d.dirty[daemon] {
		lacking = append(lacking, r)
	}
	slices.Sort(lacking)
	if len(lacking) == 0 {
		lacking = append(lacking, d.firstOwned(daemon))
	}
	for _, r := range lacking {
		d.append(d.owners[daemon].Unappended(r, d.now()))
		d.result.Appends++
	}
	clear(d.dirty[daemon])
	d.fold(daemon)
}

func (d *ranges) firstOwned(daemon int) grant.Range {
	for r := range grant.Range(grant.Ranges) {
		if d.books[daemon].Owner(r).IsOwnedBy(nameOf(daemon), incarnation) {
			return r
		}
	}
	return 0
}

// takeOver takes the ranges of a dead daemon by those that reach the log.
func (d *ranges) takeOver(dead int) {
	var able []int
	for _, daemon := range d.live() {
		if d.reachesLog(daemon) {
			able = append(able, daemon)
		}
	}
	if len(able) == 0 {
		return
	}
	for _, daemon := range able {
		d.fold(daemon)
	}
	for r := range grant.Range(grant.Ranges) {
		if d.books[able[0]].Owner(r).Daemon != nameOf(dead) {
			continue
		}
		taker := indexOf(grant.Preferred(r, d.names(able)))
		d.append(d.owners[taker].Take(r, grant.ProofVMGone, "", d.now()))
		d.result.Appends++
		d.fold(taker)
		d.result.Passed++
		if d.books[taker].Owner(r).HoleUntil.After(d.now()) {
			d.result.Holes++
		}
	}
}

func (d *ranges) append(record grant.Record) {
	d.log = append(d.log, entry{at: d.now(), record: record})
}

// fold brings the book of a daemon up to the end of the log if it can.
func (d *ranges) fold(daemon int) {
	if !d.reachesLog(daemon) {
		return
	}
	for ; d.next[daemon] < len(d.log); d.next[daemon]++ {
		next := d.log[d.next[daemon]]
		if d.owners[daemon].Fold(uint64(d.next[daemon]), next.at, next.record, d.now()) != nil {
			d.result.Misapplied++
		}
	}
}

// decided is a call that its owner is to run.
type decided struct {
	call  *served
	owner int
	claim claim.Claim
}

// serve forwards calls to their owners, which append their claims range by
// range and run what they may.
func (d *ranges) serve(calls []*served) {
	var won []decided
	var lost []func()
	for _, s := range calls {
		owner, found := d.forward(s)
		if !found {
			d.apply(s, request.GivenUp)
			continue
		}
		decision, err := d.owners[owner].Decide(s.key, 0, d.now())
		switch {
		case err != nil:
			d.apply(s, request.GivenUp)
		case decision.Won:
			d.dirty[owner][grant.RangeOf(s.key)] = true
			won = append(won, decided{s, owner, decision.Claim})
		default:
			lost = append(lost, func() { d.relay(s, owner, decision.Winner) })
		}
	}
	d.appendClaims(won)
	for _, w := range won {
		d.end(w)
	}
	for _, relay := range lost {
		relay()
	}
}

// forward returns the owner of the call's range if the daemon reaches it.
func (d *ranges) forward(s *served) (int, bool) {
	d.fold(s.daemon)
	owner := indexOf(d.books[s.daemon].Owner(grant.RangeOf(s.key)).Daemon)
	if owner == s.daemon {
		return owner, true
	}
	if owner == none || !d.reaches(s.daemon, owner) {
		return none, false
	}
	d.result.Hops++
	d.fold(owner)
	return owner, true
}

// appendClaims appends new claims, one record for each range.
func (d *ranges) appendClaims(won []decided) {
	done := make(map[grant.Range]bool)
	for _, w := range won {
		d.result.Claims++
		r := grant.RangeOf(w.claim.Key)
		if done[r] || !d.reachesLog(w.owner) {
			continue
		}
		done[r] = true
		d.append(d.owners[w.owner].Unappended(r, d.now()))
		d.result.Appends++
		delete(d.dirty[w.owner], r)
	}
	for _, w := range won {
		d.fold(w.owner)
	}
}

// end runs a call, or gives its claim up at once when the owner may not
// write yet.
func (d *ranges) end(w decided) {
	if d.owners[w.owner].MayWrite(w.claim, d.now()) {
		d.run(w.call, w.owner)
		return
	}
	d.owners[w.owner].Withdraw(w.claim)
	d.apply(w.call, request.ClaimWon, request.GivenUp)
}
