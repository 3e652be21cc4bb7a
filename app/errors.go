package app

import (
	"errors"
	"fmt"
)

// InputError says that the arguments or a file given by the user are wrong.
type InputError struct {
	Cause error
}

// Error implements error.
func (e *InputError) Error() string { return e.Cause.Error() }

// Unwrap returns the failure underneath.
func (e *InputError) Unwrap() error { return e.Cause }

// UnknownListError says that there is no list of that name.
type UnknownListError struct {
	List string
}

// Error implements error.
func (e *UnknownListError) Error() string {
	return fmt.Sprintf("%q is not a list, Plans and Allowances are", e.List)
}

// RefusedError says that every daemon refuses a change.
type RefusedError struct {
	Identity string
	Cause    error
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused: change %s: %v", e.Identity, e.Cause)
}

// Unwrap returns the failure underneath.
func (e *RefusedError) Unwrap() error { return e.Cause }

// VerdictLostError says that the verdict of a change is not known.
type VerdictLostError struct {
	Identity string
	Cause    error
}

// Error implements error.
func (e *VerdictLostError) Error() string {
	return fmt.Sprintf("change %s has no verdict: %v", e.Identity, e.Cause)
}

// Unwrap returns the failure underneath.
func (e *VerdictLostError) Unwrap() error { return e.Cause }

// exitCode tells wrong input from failures.
func exitCode(err error) int {
	var input *InputError
	if errors.As(err, &input) {
		return exitInput
	}
	return exitFailed
}

// MissingSettingsError says that neither a flag nor the environment names a
// settings file.
type MissingSettingsError struct {
	// Variable is the environment variable that may name one.
	Variable string
}

// Error implements error.
func (e *MissingSettingsError) Error() string {
	return "required flag(s) \"settings\" not set, and " + e.Variable + " is empty"
}
