package plan

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
)

// Kind is the kind of a record in the configuration stream.
type Kind string

// The kinds of records. Snapshots are written by daemons, the other kinds by
// operators.
const (
	KindPublish  Kind = "Publish"
	KindAmend    Kind = "Amend"
	KindRemove   Kind = "Remove"
	KindSnapshot Kind = "Snapshot"
)

const (
	// MaxIdentityBytes bounds the length of the identity of a change.
	MaxIdentityBytes = 128
	// MaxChangeBytes bounds the encoded size of a change.
	MaxChangeBytes = 4 << 20
)

// Change is an operator's change to one of the lists.
type Change struct {
	// Identity is the idempotency key of the change: a repeated one is applied once.
	Identity string
	// Base is the version of the list that the change is based on.
	Base uint64
	List ListName
	Kind Kind
	// Plans holds, when List is ListPlans, the whole list for KindPublish and
	// the one changed entry for KindAmend.
	Plans []Plan `json:",omitempty"`
	// Allowances is the same for ListAllowances.
	Allowances []Allowance `json:",omitempty"`
	// Entry names the entry that KindRemove removes.
	Entry string `json:",omitempty"`
}

// Encode returns the change as the payload of a record. It returns an
// *InvalidError for a change that no daemon would accept.
func (c Change) Encode() ([]byte, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	return json.Marshal(c)
}

// Check returns an *InvalidError for the first fault that can be found without
// knowing the state.
func (c Change) Check() error {
	for _, check := range []func(Change) error{checkHeader, checkContent} {
		if err := check(c); err != nil {
			return err
		}
	}
	if c.List == ListPlans {
		return CheckPlans(c.Plans)
	}
	return CheckAllowances(c.Allowances)
}

func checkHeader(c Change) error {
	switch {
	case c.Identity == "":
		return c.invalid("Identity", "is empty")
	case len(c.Identity) > MaxIdentityBytes:
		return c.invalid("Identity", fmt.Sprintf("is longer than %d bytes", MaxIdentityBytes))
	case c.List != ListPlans && c.List != ListAllowances:
		return c.invalid("List", fmt.Sprintf("%q is not a list", c.List))
	case !slices.Contains([]Kind{KindPublish, KindAmend, KindRemove}, c.Kind):
		return c.invalid("Kind", fmt.Sprintf("%q is not a kind of change", c.Kind))
	}
	return nil
}

func checkContent(c Change) error {
	own, other, field := len(c.Plans), len(c.Allowances), "Allowances"
	if c.List == ListAllowances {
		own, other, field = other, own, "Plans"
	}
	switch {
	case other > 0:
		return c.invalid(field, fmt.Sprintf("does not belong to a change of list %s", c.List))
	case c.Kind == KindAmend && own != 1:
		return c.invalid(string(c.List), fmt.Sprintf("holds %d entries, an amendment has 1", own))
	case c.Kind == KindRemove && own != 0:
		return c.invalid(string(c.List), "holds entries, a removal has none")
	case c.Kind == KindRemove && c.Entry == "":
		return c.invalid("Entry", "is empty")
	case c.Kind != KindRemove && c.Entry != "":
		return c.invalid("Entry", "belongs to removals only")
	}
	return nil
}

func (c Change) invalid(field, reason string) error {
	return &InvalidError{List: c.List, Entry: c.Entry, Field: field, Reason: reason}
}

// wireChange is a change whose entries are not decoded yet, so that a fault can be
// reported together with its entry.
type wireChange struct {
	Identity   string
	Base       uint64
	List       ListName
	Kind       Kind
	Plans      []json.RawMessage
	Allowances []json.RawMessage
	Entry      string
}

// DecodeChange decodes the payload of a record. It returns an *InvalidError that
// names the list, the entry and the field of the first fault. Even then, the change
// holds what could be decoded.
func DecodeChange(payload []byte) (Change, error) {
	if len(payload) > MaxChangeBytes {
		return Change{}, &InvalidError{Reason: fmt.Sprintf("is longer than %d bytes", MaxChangeBytes)}
	}
	wire, found := decodeStrict[wireChange](payload)
	change := Change{Identity: wire.Identity, Base: wire.Base, List: wire.List, Kind: wire.Kind, Entry: wire.Entry}
	if found != nil {
		return change, change.invalid(found.field, found.reason)
	}
	var err error
	if change.Plans, err = decodeEntries[Plan](ListPlans, wire.Plans); err != nil {
		return change, err
	}
	if change.Allowances, err = decodeEntries[Allowance](ListAllowances, wire.Allowances); err != nil {
		return change, err
	}
	return change, change.Check()
}

// DecodePlans decodes a list of plans from a JSON array.
func DecodePlans(raw []byte) ([]Plan, error) { return decodeList(ListPlans, raw, CheckPlans) }

// DecodeAllowances decodes a list of allowances from a JSON array.
func DecodeAllowances(raw []byte) ([]Allowance, error) {
	return decodeList(ListAllowances, raw, CheckAllowances)
}

func decodeList[T any](list ListName, raw []byte, check func([]T) error) ([]T, error) {
	elements, found := decodeStrict[[]json.RawMessage](raw)
	if found != nil {
		return nil, &InvalidError{List: list, Field: found.field, Reason: found.reason}
	}
	entries, err := decodeEntries[T](list, elements)
	if err != nil {
		return nil, err
	}
	return entries, check(entries)
}

func decodeEntries[T any](list ListName, elements []json.RawMessage) ([]T, error) {
	var entries []T
	for i, element := range elements {
		entry, found := decodeStrict[T](element)
		if found != nil {
			return nil, invalid(list, entryName(element), i, *found)
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// entryName returns the name of an entry that could not be decoded, or "".
func entryName(element json.RawMessage) string {
	var named struct{ Name, Plan string }
	// Faults in other fields of the entry are ignored here.
	_ = json.Unmarshal(element, &named)
	return named.Name + named.Plan
}

// decodeStrict decodes one JSON value and rejects fields that T lacks.
func decodeStrict[T any](raw []byte) (T, *fault) {
	var value T
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&value); err != nil {
		return value, findFault[T](raw, err)
	}
	if decoder.More() {
		return value, &fault{reason: "data follows the JSON value"}
	}
	return value, nil
}

// findFault locates a fault by decoding the fields of an object one by one, since the
// errors of encoding/json do not always name the field.
func findFault[T any](raw []byte, cause error) *fault {
	var fields map[string]json.RawMessage
	if json.Unmarshal(raw, &fields) != nil {
		return &fault{reason: cause.Error()}
	}
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		// Encoding a map of strings and raw messages can't fail.
		single, _ := json.Marshal(map[string]json.RawMessage{name: fields[name]})
		decoder := json.NewDecoder(bytes.NewReader(single))
		decoder.DisallowUnknownFields()
		var value T
		if err := decoder.Decode(&value); err != nil {
			return &fault{field: name, reason: err.Error()}
		}
	}
	return &fault{reason: cause.Error()}
}
