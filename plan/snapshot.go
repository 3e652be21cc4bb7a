package plan

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
)

// snapshotBody is the whole of a state.
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

// Snapshot returns the state as the payload of a snapshot record. Restore
// reads it back.
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

// encode encodes a value of this package, all of which always encode.
func encode(value any) []byte {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return raw
}

// Restore returns the state of a snapshot, or a *SnapshotError when the
// snapshot is incomplete, damaged or invalid.
func Restore(snapshot []byte) (State, error) {
	record, found := decodeStrict[snapshotRecord](snapshot)
	if found != nil {
		return State{}, &SnapshotError{Reason: found.field + " " + found.reason}
	}
	sum := sha256.Sum256(record.Body)
	if record.Kind != KindSnapshot || record.Checksum != hex.EncodeToString(sum[:]) {
		return State{}, &SnapshotError{Reason: "its checksum does not hold"}
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
		return State{}, &SnapshotError{Offset: b.Offset, Reason: "a list is newer than the state"}
	case len(b.Identities) > RememberedIdentities:
		return State{}, &SnapshotError{Offset: b.Offset, Reason: "it holds too many identities"}
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

// foldSnapshot uses a snapshot only when it is newer than the state, which
// happens only across a gap. A state that has folded every record up to the
// snapshot steps over it.
func (s State) foldSnapshot(offset uint64, payload []byte) (State, Verdict) {
	if offset == s.offset {
		return s.withOffset(offset + 1), Verdict{Err: &SnapshotError{Offset: offset, Reason: "the state is as new"}}
	}
	restored, err := Restore(payload)
	switch {
	case err != nil:
		return s, Verdict{Err: err}
	case restored.offset > offset:
		return s, Verdict{Err: &SnapshotError{Offset: restored.offset, Reason: "it claims to be newer than its own record"}}
	case restored.offset <= s.offset:
		return s, Verdict{Err: &SnapshotError{Offset: restored.offset, Reason: "the state is as new"}}
	}
	return restored, Verdict{Accepted: true}
}
