package plan

import (
	"crypto/sha256"
	"slices"
)

// RememberedIdentities is the number of identities of processed changes that a state
// keeps. An accepted change that is repeated after its identity has been dropped is
// still rejected, because its base is stale by then.
const RememberedIdentities = 1024

// State is the configuration in force as of an offset. It is immutable. The zero
// value is the state before the first record.
type State struct {
	// offset is the offset after the last applied record. It never decreases.
	offset uint64
	// plansVersion and allowancesVersion are the offset after the last
	// accepted change of the list, 0 before the first.
	plansVersion      uint64
	allowancesVersion uint64
	// plans and allowances are valid lists that are never modified in place.
	plans      []Plan
	allowances []Allowance
	// identities holds the identities of the last processed changes, oldest
	// first, at most RememberedIdentities. Apply copies the slice when it adds one.
	identities []string
	// keys is derived from plans.
	keys map[[sha256.Size]byte]keyRef
}

// NewStateAt returns a state without entries as of an offset. Its snapshot recovers a
// stream whose records have all been removed without a snapshot: daemons that miss
// records can apply later changes from there.
func NewStateAt(offset uint64) State { return State{offset: offset} }

// Offset returns the offset after the last applied record, at which the state can
// apply the next one.
func (s State) Offset() uint64 { return s.offset }

// Version returns the current version of the list, which a change must have as its
// base.
func (s State) Version(list ListName) uint64 {
	if list == ListAllowances {
		return s.allowancesVersion
	}
	return s.plansVersion
}

// Plans returns a copy of the list of plans.
func (s State) Plans() []Plan { return slices.Clone(s.plans) }

// Allowances returns a copy of the list of allowances.
func (s State) Allowances() []Allowance { return slices.Clone(s.allowances) }

// IsComplete reports whether both lists have been published.
func (s State) IsComplete() bool { return s.plansVersion > 0 && s.allowancesVersion > 0 }

// WithPlans returns the state with another list of plans, which must be valid, and
// unchanged versions.
func (s State) WithPlans(plans ...Plan) State {
	s.plans = slices.Clone(plans)
	s.keys = indexKeys(s.plans)
	return s
}

// WithAllowances returns the state with another list of allowances, which must be
// valid, and unchanged versions.
func (s State) WithAllowances(allowances ...Allowance) State {
	s.allowances = slices.Clone(allowances)
	return s
}

// Newer returns the state with the higher offset, and s when the offsets are equal. A
// state received from elsewhere goes through Newer so that the configuration never
// reverts.
func (s State) Newer(other State) State {
	if other.offset > s.offset {
		return other
	}
	return s
}

func (s State) withOffset(offset uint64) State {
	s.offset = offset
	return s
}

func (s State) withIdentity(identity string) State {
	kept := s.identities
	if len(kept) >= RememberedIdentities {
		kept = kept[len(kept)-RememberedIdentities+1:]
	}
	s.identities = append(slices.Clip(slices.Clone(kept)), identity)
	return s
}
