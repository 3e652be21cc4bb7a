package plan

import "github.com/cranberrywalk/cranberrywalk/hosting"

// Follower applies the configuration stream and tracks the offset to read next. It is
// immutable.
//
// When retention has removed the record that it needs, it searches the remaining
// records for a snapshot. A snapshot holds the state as of an offset below the offset
// of its own record, so the follower then continues from the offset of the state.
type Follower struct {
	state State
	// next is the offset to read next. It is above the state's offset only while
	// the follower searches for a snapshot to bridge a gap.
	next uint64
}

// NewFollower returns a follower that continues from a state.
func NewFollower(state State) Follower { return Follower{state: state, next: state.offset} }

// State returns the state as of the last applied record.
func (f Follower) State() State { return f.state }

// NextOffset returns the offset to read next.
func (f Follower) NextOffset() uint64 { return f.next }

// HasGap reports whether records that the state needs have been removed and no
// snapshot has bridged the gap yet. The state is then out of date.
func (f Follower) HasGap() bool { return f.next > f.state.offset }

// Apply applies a record read from the stream.
func (f Follower) Apply(record hosting.Record) (Follower, Verdict) {
	before := f.state.offset
	state, verdict := f.state.Apply(record.Offset, record.Payload)
	switch {
	case state.offset != before:
		f.next = state.offset
	case f.HasGap():
		f.next = max(f.next, record.Offset+1)
	}
	f.state = state
	return f, verdict
}

// WithTrimmed returns the follower after the log service has reported that the oldest
// record of the stream is at offset first.
func (f Follower) WithTrimmed(first uint64) Follower {
	f.next = max(f.next, first)
	return f
}

// WithState returns the follower after another state was received, which replaces the
// follower's own only when it is newer.
func (f Follower) WithState(other State) Follower {
	if newer := f.state.Newer(other); newer.offset > f.state.offset {
		return NewFollower(newer)
	}
	return f
}
