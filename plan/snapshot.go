package plan

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
)

// snapshotBody is the encoded form of a state.
type snapshotBody struct {
	Offset            uint64
	PlansVersion      uint64
	AllowancesVersion uint64
	Plans             []Plan
	Allowances        []Allowance
	Identities        []string
}

// snapshotRecord wraps a body with the checksum of its bytes.
type snapshotRecord struct {
	Kind Kind
	// Checksum is the SHA-256 sum of Body in hexadecimal.
	Checksum string
	Body     json.RawMessage
}

// Snapshot returns the state as the payload of a snapshot record. Restore decodes it.
func (s State) Snapshot() []byte {
	body := encode(snapshotBody{
		Offset:            s.offset,
		PlansVersion:      s.plansVersion,
		AllowancesVersion: s.allowancesVersion,
		Plans:             s.plans,
		Allowances:        s.allowances,
		Identities:        s.identities,
	})
	sum := sha256.Sum256(body)
	return encode(snapshotRecord{Kind: KindSnapshot, Checksum: hex.EncodeToString(sum[:]), Body: body})
}

// encode encodes a value of a type of this package, none of which can fail to encode.
func encode(value any) []byte {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return raw
}

// Restore decodes the state in a snapshot. It returns a *SnapshotError when the
// snapshot is truncated, corrupted or invalid.
func Restore(snapshot []byte) (State, error) {
	record, found := decodeStrict[snapshotRecord](snapshot)
	if found != nil {
		return State{}, &SnapshotError{Reason: found.field + " " + found.reason}
	}
	sum := sha256.Sum256(record.Body)
	if record.Kind != KindSnapshot || record.Checksum != hex.EncodeToString(sum[:]) {
		return State{}, &SnapshotError{Reason: "its kind or checksum is wrong"}
	}
	body, found := decodeStrict[snapshotBody](record.Body)
	if found != nil {
		return State{}, &SnapshotError{Reason: found.field + " " + found.reason}
	}
	return body.state()
}

func (b snapshotBody) state() (State, error) {
	if err := CheckPlans(b.Plans); err != nil {
		return State{}, &SnapshotError{Offset: b.Offset, Reason: err.Error()}
	}
	if err := CheckAllowances(b.Allowances); err != nil {
		return State{}, &SnapshotError{Offset: b.Offset, Reason: err.Error()}
	}
	switch {
	case b.PlansVersion > b.Offset || b.AllowancesVersion > b.Offset:
		return State{}, &SnapshotError{Offset: b.Offset, Reason: "a list version is above the offset of the state"}
	case len(b.Identities) > RememberedIdentities:
		return State{}, &SnapshotError{Offset: b.Offset, Reason: "it has too many identities"}
	}
	return State{
		offset:            b.Offset,
		plansVersion:      b.PlansVersion,
		allowancesVersion: b.AllowancesVersion,
		plans:             b.Plans,
		allowances:        b.Allowances,
		identities:        b.Identities,
		keys:              indexKeys(b.Plans),
	}, nil
}

// applySnapshot restores a snapshot only when it is newer than the state, which is the
// case only across a gap. A state that has applied every record before the snapshot
// skips it.
func (s State) applySnapshot(offset uint64, payload []byte) (State, Verdict) {
	if offset == s.offset {
		return s.withOffset(offset + 1), Verdict{Err: &SnapshotError{Offset: offset, Reason: "the state is at least as new"}}
	}
	restored, err := Restore(payload)
	switch {
	case err != nil:
		return s, Verdict{Err: err}
	case restored.offset > offset:
		return s, Verdict{Err: &SnapshotError{Offset: restored.offset, Reason: "its offset is above that of its own record"}}
	case restored.offset <= s.offset:
		return s, Verdict{Err: &SnapshotError{Offset: restored.offset, Reason: "the state is at least as new"}}
	}
	return restored, Verdict{Accepted: true}
}
