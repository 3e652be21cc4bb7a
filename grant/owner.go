package grant

import (
	"cmp"
	"slices"
	"time"

	"github.com/cranberrywalk/cranberrywalk/claim"
)

// Decision is the result of a claim at the owner of the key. After a win, the
// request may be written to a backend server only once MayWrite returns true.
type Decision struct {
	Won bool
	// Claim is the process's own claim, when it has won.
	Claim claim.Claim
	// Winner is the earlier claim that holds the key, when Won is false.
	Winner claim.Claim
}

// Owner decides the claims of keys in the ranges that one process owns. It is
// not safe for concurrent use.
type Owner struct {
	daemon      string
	incarnation string
	// state is the process's own view of the stream. The process owns a range
	// only once it has applied its own grant, and so every record before the
	// grant.
	state *State
	// unlogged holds the claims that the state does not hold yet.
	unlogged map[claim.Key]claim.Claim
	// written holds the keys in unlogged for which MayWrite has returned true.
	written map[claim.Key]bool
	// withdrawn are claims whose withdrawal is not in the log yet.
	withdrawn []claim.Claim
	// releasing holds the ranges that accept no more claims.
	releasing map[Range]bool
	// lastNumber is the number of the last claim, lastSequence the sequence of
	// the last record.
	lastNumber   uint64
	lastSequence uint64
	logClock     logClock
}

// NewOwner returns the owner of a process, which holds no claims yet.
func NewOwner(daemon, incarnation string, state *State) *Owner {
	return &Owner{
		daemon: daemon, incarnation: incarnation, state: state,
		unlogged: make(map[claim.Key]claim.Claim), written: make(map[claim.Key]bool),
		releasing: make(map[Range]bool),
	}
}

// Decide decides a claim of a key by this process, and keeps the claim in memory
// when it wins. It returns a *NotOwnerError, a *ReleasingError or a *HoleError when
// this process cannot decide.
func (o *Owner) Decide(key claim.Key, fingerprint uint64, now time.Time) (Decision, error) {
	r := RangeOf(key)
	current := o.state.CurrentGrant(r)
	if !current.IsOwnedBy(o.daemon, o.incarnation) {
		return Decision{}, &NotOwnerError{Key: key, Owner: current}
	}
	if winner, found := o.lookup(key); found {
		return Decision{Winner: winner}, nil
	}
	if o.releasing[r] {
		return Decision{}, &ReleasingError{Range: r}
	}
	if o.logClock.lowerBound(now).Before(current.HoleUntil) {
		return Decision{}, &HoleError{Key: key, Until: current.HoleUntil}
	}
	o.lastNumber++
	won := claim.Claim{
		Key: key, Daemon: o.daemon, Incarnation: o.incarnation, Number: o.lastNumber, Fingerprint: fingerprint,
	}
	o.unlogged[key] = won
	return Decision{Won: true, Claim: won}, nil
}

func (o *Owner) lookup(key claim.Key) (claim.Claim, bool) {
	if winner, found := o.unlogged[key]; found {
		return winner, true
	}
	return o.state.Lookup(key)
}

// MayWrite reports whether the first byte of the request may be written under a
// claim that Decide has returned: once the log holds the claim, or, while the log
// is down, once MemoryDelay has passed since the last floor. From then on, another
// process that takes the range with proof of death gets it with a hole.
func (o *Owner) MayWrite(won claim.Claim, now time.Time) bool {
	if !o.state.CurrentGrant(RangeOf(won.Key)).IsOwnedBy(o.daemon, o.incarnation) || slices.ContainsFunc(o.withdrawn, won.IsSame) {
		return false
	}
	if held, found := o.state.Lookup(won.Key); found {
		return held.IsSame(won)
	}
	held, found := o.unlogged[won.Key]
	if !found || !held.IsSame(won) || !o.logClock.isPastFloor(o.state.options.MemoryDelay, now) {
		return false
	}
	o.written[won.Key] = true
	return true
}

// Withdraw withdraws a claim under which nothing was written. The key can be
// claimed again once the withdrawal is in the log, since the log may hold the
// claim.
func (o *Owner) Withdraw(withdrawn claim.Claim) {
	if !slices.ContainsFunc(o.withdrawn, withdrawn.IsSame) {
		o.withdrawn = append(o.withdrawn, withdrawn)
	}
}

// Take returns a record that requests a range.
func (o *Owner) Take(r Range, proof Proof, seenIncarnation string, now time.Time) Record {
	take := &Take{Range: r, Previous: o.state.CurrentGrant(r).Number, Proof: proof, SeenIncarnation: seenIncarnation}
	return o.newRecord(now, Record{Take: take})
}

// Unappended returns a record with the claims of a range that the log does not
// hold yet. Without such claims the record only shows that the process is
// alive. A record that does not reach the log is replaced by a later one.
func (o *Owner) Unappended(r Range, now time.Time) Record {
	return o.newRecord(now, Record{Claims: o.unappended(r)})
}

func (o *Owner) unappended(r Range) *Claims {
	claims := &Claims{Range: r, Number: o.state.CurrentGrant(r).Number}
	for _, held := range o.unlogged {
		if RangeOf(held.Key) == r && !slices.ContainsFunc(o.withdrawn, held.IsSame) {
			claims.Claims = append(claims.Claims, held)
		}
	}
	for _, withdrawn := range o.withdrawn {
		if RangeOf(withdrawn.Key) == r {
			claims.Withdrawn = append(claims.Withdrawn, withdrawn)
		}
	}
	slices.SortFunc(claims.Claims, func(a, b claim.Claim) int { return cmp.Compare(a.Number, b.Number) })
	return claims
}

// BeginRelease stops claims in a range that is to be released.
func (o *Owner) BeginRelease(r Range) { o.releasing[r] = true }

// Release returns the record that releases a range. It returns an
// *UnappendedError while claims of the range are not in the log, since the next
// owner would not know them, and before BeginRelease.
func (o *Owner) Release(r Range, now time.Time) (Record, error) {
	current := o.state.CurrentGrant(r)
	if !current.IsOwnedBy(o.daemon, o.incarnation) {
		return Record{}, &StaleGrantError{Range: r, Current: current.Number}
	}
	left := o.unappended(r)
	if count := len(left.Claims) + len(left.Withdrawn); count > 0 || !o.releasing[r] {
		return Record{}, &UnappendedError{Range: r, Claims: count}
	}
	return o.newRecord(now, Record{Release: &Release{Range: r, Number: current.Number}}), nil
}

// newRecord sets the identity, the sequence and the floor of a record. Once
// MayWrite has allowed a write under a claim that is not in the log, the floor
// does not rise until the claim is there.
func (o *Owner) newRecord(now time.Time, record Record) Record {
	o.lastSequence++
	record.Daemon, record.Incarnation, record.Sequence = o.daemon, o.incarnation, o.lastSequence
	record.Floor = o.logClock.nextFloor(now, len(o.written) > 0)
	return record
}

// Apply applies the next record of the stream to the state. at is the time of the
// record by the log's clock, and now the current time by the process's clock.
func (o *Owner) Apply(offset uint64, at time.Time, record Record, now time.Time) error {
	err := o.state.Apply(offset, at, record)
	if record.Daemon != o.daemon || record.Incarnation != o.incarnation {
		return err
	}
	o.logClock.observe(at, now)
	switch {
	case err != nil:
	case record.Take != nil:
		delete(o.releasing, record.Take.Range)
	case record.Claims != nil:
		o.dropLogged(*record.Claims)
	}
	return err
}

// dropLogged drops the claims and withdrawals that the state now reflects.
func (o *Owner) dropLogged(claims Claims) {
	for _, claimed := range claims.Claims {
		if held, found := o.state.Lookup(claimed.Key); found && held.IsSame(claimed) {
			o.dropUnlogged(claimed)
		}
	}
	for _, withdrawn := range claims.Withdrawn {
		o.withdrawn = slices.DeleteFunc(o.withdrawn, withdrawn.IsSame)
		o.dropUnlogged(withdrawn)
	}
}

func (o *Owner) dropUnlogged(claimed claim.Claim) {
	if held, found := o.unlogged[claimed.Key]; found && held.IsSame(claimed) {
		delete(o.unlogged, claimed.Key)
		delete(o.written, claimed.Key)
	}
}
