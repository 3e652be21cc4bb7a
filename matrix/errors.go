package matrix

import (
	"fmt"
	"strings"
)

// UnreachableError reports that a daemon cannot reach another one.
type UnreachableError struct {
	From string
	To   string
}

// Error implements error.
func (e *UnreachableError) Error() string { return fmt.Sprintf("%s cannot reach %s", e.From, e.To) }

// ViolationError reports that an invariant was violated in a case.
type ViolationError struct {
	Invariant Invariant
	Detail    string
}

// Error implements error.
func (e *ViolationError) Error() string { return fmt.Sprintf("%s: %s", e.Invariant, e.Detail) }

// RedError reports the red cells of the table.
type RedError struct {
	Cells []string
}

// Error implements error.
func (e *RedError) Error() string {
	return fmt.Sprintf("%d red cells: %s", len(e.Cells), strings.Join(e.Cells, ", "))
}
