package plan

import (
	"bytes"

	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// Inquiry finds out what became of a change that was appended. It starts
// from a state that was read before the append, and takes the records that
// follow until the change shows up. It is immutable.
type Inquiry struct {
	// payload is the encoded change as it was appended.
	payload  []byte
	follower Follower
	// verdict is set once found is true, and stays.
	verdict Verdict
	found   bool
}

// NewInquiry returns an inquiry about the payload that goes on from a state
// of before the append.
func NewInquiry(state State, payload []byte) Inquiry {
	return Inquiry{payload: bytes.Clone(payload), follower: NewFollower(state)}
}

// Follower returns the fold as far as the inquiry has come.
func (i Inquiry) Follower() Follower { return i.follower }

// Fold takes the next record. The first record with the payload of the
// change decides: a copy that a repeated append has left is refused by every
// daemon as repeated.
func (i Inquiry) Fold(record hosting.Record) Inquiry {
	isNext := record.Offset == i.follower.state.offset
	follower, verdict := i.follower.Fold(record)
	i.follower = follower
	if !i.found && isNext && bytes.Equal(record.Payload, i.payload) {
		i.verdict, i.found = verdict, true
	}
	return i
}

// Verdict returns the verdict of the change, and false while its record has
// not shown up.
func (i Inquiry) Verdict() (Verdict, bool) { return i.verdict, i.found }
