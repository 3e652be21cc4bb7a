package main

import "fmt"

// StopError reports that processes did not exit with code 0.
type StopError struct {
	Processes []string
}

// Error implements error.
func (e *StopError) Error() string {
	return fmt.Sprintf("processes did not stop cleanly: %v", e.Processes)
}

// UnexpectedError reports that a step had a different result than expected.
type UnexpectedError struct {
	Got  string
	Want string
}

// Error implements error.
func (e *UnexpectedError) Error() string { return fmt.Sprintf("got %s, want %s", e.Got, e.Want) }

func expect(got, want string) error {
	if got != want {
		return &UnexpectedError{Got: got, Want: want}
	}
	return nil
}
