package settings

import (
	"fmt"
	"strings"
)

// Fault is one thing that is wrong with a settings file.
type Fault struct {
	Section string
	// Key is empty when the section itself is wrong.
	Key string
	// Line counts from 1; it is 0 when the key is missing from the file.
	Line int
	// Reason says what is wrong, with the offending value.
	Reason string
}

// String returns the fault on one line.
func (f Fault) String() string {
	place := fmt.Sprintf("[%s] %s", f.Section, f.Key)
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s", strings.TrimSpace(place), f.Reason)
	}
	return fmt.Sprintf("line %d: %s: %s", f.Line, strings.TrimSpace(place), f.Reason)
}

// FaultsError says that a settings file can't be used. It holds every fault
// of the file.
type FaultsError struct {
	File   string
	Faults []Fault
}

// Error implements error.
func (e *FaultsError) Error() string {
	lines := []string{fmt.Sprintf("settings file %s has %d faults", e.File, len(e.Faults))}
	for _, fault := range e.Faults {
		lines = append(lines, "  "+fault.String())
	}
	return strings.Join(lines, "\n")
}

// ReadError says that a settings file could not be read.
type ReadError struct {
	File  string
	Cause error
}

// Error implements error.
func (e *ReadError) Error() string {
	return fmt.Sprintf("settings file %s can't be read: %v", e.File, e.Cause)
}

// Unwrap returns the failure underneath.
func (e *ReadError) Unwrap() error { return e.Cause }
