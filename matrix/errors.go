package matrix

import (
	"fmt"
	"strings"
)

// UnreachableError says that a daemon does not reach another one.
type UnreachableError struct {
	From string
	To   string
}

// Error implements error.
func (e *UnreachableError) Error() string { return fmt.Sprintf("%s does not reach %s", e.From, e.To) }

// ViolationError says that an invariant did not hold in a case.
type ViolationError struct {
	Invariant Invariant
	Detail    string
}

// Error implements error.
func (e *ViolationError) Error() string { return fmt.Sprintf("%s: %s", e.Invariant, e.Detail) }

// RedError says that cells of the table are red.
type RedError struct {
	Cells []string
}

// Error implements error.
func (e *RedError) Error() string {
	return fmt.Sprintf("%d red cells: %s", len(e.Cells), strings.Join(e.Cells, ", "))
}
