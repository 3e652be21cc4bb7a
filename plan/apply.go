package plan

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Verdict is the result of applying a record.
type Verdict struct {
	// Accepted is true when the record changed a list, or was a snapshot that
	// was restored.
	Accepted bool
	// Identity is the identity of the change, if it could be decoded.
	Identity string
	// Err says why the record was not accepted: an *InvalidError,
	// *StaleBaseError, *DuplicateChangeError, *AlreadyAppliedError, *GapError or
	// *SnapshotError.
	Err error
}

// Apply returns the state after one more record of the stream. It is a pure function
// that accepts any bytes: a record that is not accepted only moves the offset
// forward. A record below the state's offset changes nothing. A record above it
// changes nothing either, unless it is a snapshot that bridges the gap; the next
// record to apply is then the one at the offset of the returned state, which can be
// below the offset of the snapshot record.
func (s State) Apply(offset uint64, payload []byte) (State, Verdict) {
	if offset < s.offset {
		return s, Verdict{Err: &AlreadyAppliedError{Offset: offset, Current: s.offset}}
	}
	if kindOf(payload) == KindSnapshot {
		return s.applySnapshot(offset, payload)
	}
	if offset > s.offset {
		return s, Verdict{Err: &GapError{Expected: s.offset, Offset: offset}}
	}
	change, err := DecodeChange(payload)
	next, err := s.withOffset(offset+1).applyChange(change, err)
	return next, Verdict{Accepted: err == nil, Identity: change.Identity, Err: err}
}

// applyChange applies a change to a state whose offset is already after the record.
func (s State) applyChange(change Change, decodeErr error) (State, error) {
	if change.Identity == "" || len(change.Identity) > MaxIdentityBytes {
		return s, decodeErr
	}
	if slices.Contains(s.identities, change.Identity) {
		return s, &DuplicateChangeError{Identity: change.Identity}
	}
	s = s.withIdentity(change.Identity)
	if decodeErr != nil {
		return s, decodeErr
	}
	if current := s.Version(change.List); change.Base != current {
		return s, &StaleBaseError{List: change.List, Base: change.Base, Current: current}
	}
	if change.List == ListPlans {
		return s.applyPlans(change)
	}
	return s.applyAllowances(change)
}

func (s State) applyPlans(change Change) (State, error) {
	plans, err := apply(change, s.plans, change.Plans, func(p Plan) string { return p.Name })
	if err != nil {
		return s, err
	}
	if err := CheckPlans(plans); err != nil {
		return s, err
	}
	s.plans, s.keys, s.plansVersion = plans, indexKeys(plans), s.offset
	return s, nil
}

func (s State) applyAllowances(change Change) (State, error) {
	allowances, err := apply(change, s.allowances, change.Allowances, func(a Allowance) string { return a.Plan })
	if err != nil {
		return s, err
	}
	if err := CheckAllowances(allowances); err != nil {
		return s, err
	}
	s.allowances, s.allowancesVersion = allowances, s.offset
	return s, nil
}

// apply returns the list after a change. It does not modify current.
func apply[T any](change Change, current, entries []T, name func(T) string) ([]T, error) {
	if change.Kind == KindPublish {
		return entries, nil
	}
	wanted := change.Entry
	if change.Kind == KindAmend {
		wanted = name(entries[0])
	}
	index := slices.IndexFunc(current, func(entry T) bool { return name(entry) == wanted })
	list := slices.Clone(current)
	switch {
	case change.Kind == KindAmend && index >= 0:
		list[index] = entries[0]
	case change.Kind == KindAmend:
		list = append(list, entries[0])
	case index >= 0:
		list = slices.Delete(list, index, index+1)
	default:
		return nil, &InvalidError{List: change.List, Entry: wanted, Field: "Entry", Reason: fmt.Sprintf("%q is not in the list", wanted)}
	}
	return list, nil
}

// kindOf returns the kind of a record, or "" when it can't be decoded.
func kindOf(payload []byte) Kind {
	var header struct{ Kind Kind }
	// DecodeChange and Restore report the errors in the payload.
	_ = json.Unmarshal(payload, &header)
	return header.Kind
}
