package plan

import "fmt"

// DurationError reports that a value is not a duration.
type DurationError struct {
	Value string
}

// Error implements error.
func (e *DurationError) Error() string {
	return fmt.Sprintf("%q is not a duration such as \"400ms\"", e.Value)
}

// InvalidError reports which part of a change is invalid. Fields that do not apply are
// empty.
type InvalidError struct {
	List ListName
	// Entry is the name of the entry, or its index when it has no name.
	Entry string
	// Field is the path of the field inside the entry or the change.
	Field  string
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string {
	place := ""
	for _, part := range []struct{ name, value string }{
		{"list", string(e.List)}, {"entry", e.Entry}, {"field", e.Field},
	} {
		if part.value != "" {
			place += fmt.Sprintf(" %s %q,", part.name, part.value)
		}
	}
	return fmt.Sprintf("invalid change:%s %s", place, e.Reason)
}

// StaleBaseError reports that a change is based on a version of its list other than the
// current one.
type StaleBaseError struct {
	List    ListName
	Base    uint64
	Current uint64
}

// Error implements error.
func (e *StaleBaseError) Error() string {
	return fmt.Sprintf("the change is based on version %d of list %s, current is %d", e.Base, e.List, e.Current)
}

// DuplicateChangeError reports that a change with this identity has been processed
// before.
type DuplicateChangeError struct {
	Identity string
}

// Error implements error.
func (e *DuplicateChangeError) Error() string {
	return fmt.Sprintf("change %s has been processed before", e.Identity)
}

// AlreadyAppliedError reports that the state already contains a record.
type AlreadyAppliedError struct {
	Offset uint64
	// Current is the offset of the state.
	Current uint64
}

// Error implements error.
func (e *AlreadyAppliedError) Error() string {
	return fmt.Sprintf("record %d is already applied, the state is at offset %d", e.Offset, e.Current)
}

// GapError reports that records between the state and a record are missing. Only a
// snapshot can bridge the gap.
type GapError struct {
	// Expected is the offset of the next record that the state can apply.
	Expected uint64
	Offset   uint64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("record %d leaves a gap, the next record to apply is %d", e.Offset, e.Expected)
}

// SnapshotError reports why a snapshot was rejected.
type SnapshotError struct {
	// Offset is the offset of the state in the snapshot, as stated by the snapshot.
	Offset uint64
	Reason string
}

// Error implements error.
func (e *SnapshotError) Error() string {
	return fmt.Sprintf("snapshot as of offset %d is rejected: %s", e.Offset, e.Reason)
}

// UnknownCustomerError reports that no customer has the bearer key. It deliberately holds
// no part of the key.
type UnknownCustomerError struct{}

// Error implements error.
func (e *UnknownCustomerError) Error() string { return "no customer has this key" }

// NoAllowanceError reports that a plan has no entry in the list of allowances.
type NoAllowanceError struct {
	Plan string
}

// Error implements error.
func (e *NoAllowanceError) Error() string {
	return fmt.Sprintf("plan %s has no entry in list %s", e.Plan, ListAllowances)
}

// ForbiddenError reports which entry and field forbid a request.
type ForbiddenError struct {
	Plan string
	List ListName
	// Field is the field of the entry that lacks the value.
	Field string
	Value string
}

// Error implements error.
func (e *ForbiddenError) Error() string {
	return fmt.Sprintf("plan %s: field %s of list %s does not allow %q", e.Plan, e.Field, e.List, e.Value)
}
