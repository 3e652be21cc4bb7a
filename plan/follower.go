package plan

import "github.com/cranberrywalk/cranberrywalk/hosting"

// Follower folds the configuration stream and says which record it needs
// next. It is immutable.
//
// When retention has removed the record that it needs, it looks for a
// snapshot in the records that are left. A snapshot holds the state as of an
// offset below its own, so the follower goes back to that offset once it has
// one.
type Follower struct {
	state State
	// from is the offset to read next. It is above the state's offset only
	// while the follower looks for a snapshot across a gap.
	from uint64
}

// NewFollower returns a follower that goes on from a state.
func NewFollower(state State) Follower { return Follower{state: state, from: state.offset} }

// State returns the state as of the last folded record.
func (f Follower) State() State { return f.state }

// From returns the offset from which to read next.
func (f Follower) From() uint64 { return f.from }

// HasGap reports whether records that the state needs have been removed and
// no snapshot has led across the gap yet. The state is out of date then.
func (f Follower) HasGap() bool { return f.from > f.state.offset }

// Fold folds a record that was read from the stream.
func (f Follower) Fold(record hosting.Record) (Follower, Verdict) {
	before := f.state.offset
	state, verdict := f.state.Fold(record.Offset, record.Payload)
	switch {
	case state.offset != before:
		f.from = state.offset
	case f.HasGap():
		f.from = max(f.from, record.Offset+1)
	}
	f.state = state
	return f, verdict
}

// WithTrimmed returns the follower after the stream has answered that its
// oldest record is the one at offset first.
func (f Follower) WithTrimmed(first uint64) Follower {
	f.from = max(f.from, first)
	return f
}

// WithState returns the follower after a state was received from elsewhere,
// which is used only when it is newer.
func (f Follower) WithState(other State) Follower {
	if newer := f.state.Newer(other); newer.offset > f.state.offset {
		return NewFollower(newer)
	}
	return f
}
