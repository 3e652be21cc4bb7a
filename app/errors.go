package app

import (
	"errors"
	"fmt"
)

// InputError reports invalid arguments or an invalid file of the user.
type InputError struct {
	Cause error
}

// Error implements error.
func (e *InputError) Error() string { return e.Cause.Error() }

// Unwrap returns the underlying error.
func (e *InputError) Unwrap() error { return e.Cause }

// UnknownListError reports that there is no list of that name.
type UnknownListError struct {
	List string
}

// Error implements error.
func (e *UnknownListError) Error() string {
	return fmt.Sprintf("%q is not a list; the lists are Plans and Allowances", e.List)
}

// RefusedError reports that a change is invalid or conflicts, so that every daemon
// rejects it.
type RefusedError struct {
	Identity string
	Cause    error
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused: change %s: %v", e.Identity, e.Cause)
}

// Unwrap returns the underlying error.
func (e *RefusedError) Unwrap() error { return e.Cause }

// VerdictLostError reports that it is unknown whether a change was accepted.
type VerdictLostError struct {
	Identity string
	Cause    error
}

// Error implements error.
func (e *VerdictLostError) Error() string {
	return fmt.Sprintf("change %s has no verdict: %v", e.Identity, e.Cause)
}

// Unwrap returns the underlying error.
func (e *VerdictLostError) Unwrap() error { return e.Cause }

// exitCode returns the exit code for an error of a command.
func exitCode(err error) int {
	var input *InputError
	if errors.As(err, &input) {
		return exitInput
	}
	return exitFailed
}

// MissingSettingsError reports that neither the flag nor the environment variable
// names a settings file.
type MissingSettingsError struct {
	// Variable is the name of the environment variable.
	Variable string
}

// Error implements error.
func (e *MissingSettingsError) Error() string {
	return "required flag(s) \"settings\" not set, and " + e.Variable + " is empty"
}
