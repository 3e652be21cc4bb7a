package main

import "fmt"

// StopError says that processes did not stop with code 0.
type StopError struct {
	Processes []string
}

// Error implements error.
func (e *StopError) Error() string {
	return fmt.Sprintf("processes did not stop cleanly: %v", e.Processes)
}

// UnexpectedError says that a step did not show what it should.
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
