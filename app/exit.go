package app

import "errors"

// InputError says that the arguments or a file given by the user are wrong.
type InputError struct {
	Cause error
}

// Error implements error.
func (e *InputError) Error() string { return e.Cause.Error() }

// Unwrap returns the failure underneath.
func (e *InputError) Unwrap() error { return e.Cause }

// exitCode tells wrong input from failures.
func exitCode(err error) int {
	var input *InputError
	if errors.As(err, &input) {
		return exitInput
	}
	return exitFailed
}
