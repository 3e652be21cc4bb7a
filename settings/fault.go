package settings

import (
	"fmt"
	"strings"
)

// Fault is one validation error of a settings file.
type Fault struct {
	Section string
	// Key is empty when the section itself is wrong.
	Key string
	// Line counts from 1; it is 0 when the key is missing from the file.
	Line int
	// Reason describes the error and includes the invalid value.
	Reason string
}

// String returns the fault on one line.
func (f Fault) String() string {
	location := fmt.Sprintf("[%s] %s", f.Section, f.Key)
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s", strings.TrimSpace(location), f.Reason)
	}
	return fmt.Sprintf("line %d: %s: %s", f.Line, strings.TrimSpace(location), f.Reason)
}

// FaultsError reports that a settings file is invalid. It holds every fault of the
// file.
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

// ReadError reports that a settings file could not be read or is not an INI file.
type ReadError struct {
	File  string
	Cause error
}

// Error implements error.
func (e *ReadError) Error() string {
	return fmt.Sprintf("settings file %s can't be read: %v", e.File, e.Cause)
}

// Unwrap returns the underlying error.
func (e *ReadError) Unwrap() error { return e.Cause }
