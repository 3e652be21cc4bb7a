package plan

import (
	"bytes"

	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// ChangeTracker determines the verdict of a change that was appended. It starts from a
// state read before the append and applies the records that follow until it finds the
// change. It is immutable.
type ChangeTracker struct {
	// payload is the encoded change as it was appended.
	payload  []byte
	follower Follower
	// verdict is valid once found is true and does not change after that.
	verdict Verdict
	found   bool
}

// NewChangeTracker returns a tracker for the payload. state was read before the
// append.
func NewChangeTracker(state State, payload []byte) ChangeTracker {
	return ChangeTracker{payload: bytes.Clone(payload), follower: NewFollower(state)}
}

// Follower returns the follower with the records applied so far.
func (t ChangeTracker) Follower() Follower { return t.follower }

// Apply applies the next record. The first record with the payload of the change decides
// its verdict: every daemon rejects a later copy, left by a retried append, as a
// duplicate.
func (t ChangeTracker) Apply(record hosting.Record) ChangeTracker {
	isNext := record.Offset == t.follower.state.offset
	follower, verdict := t.follower.Apply(record)
	t.follower = follower
	if !t.found && isNext && bytes.Equal(record.Payload, t.payload) {
		t.verdict, t.found = verdict, true
	}
	return t
}

// Verdict returns the verdict of the change, and false while its record has not been
// found.
func (t ChangeTracker) Verdict() (Verdict, bool) { return t.verdict, t.found }
