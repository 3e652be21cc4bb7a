// Package ring provides a bounded queue that joins two goroutines.
package ring

import "fmt"

// FullError says that a ring had no room for a value.
type FullError struct {
	Name     string
	Capacity int
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("ring %s is full with %d values", e.Name, e.Capacity)
}

// Ring is a first-in first-out queue of bounded capacity, safe for use by
// several goroutines. A full ring refuses values; it never blocks a writer.
type Ring[T any] struct {
	name string
	// values has the ring's capacity as its buffer size.
	values chan T
}

// New returns an empty ring with room for capacity values.
func New[T any](name string, capacity int) *Ring[T] {
	return &Ring[T]{name: name, values: make(chan T, capacity)}
}

// Put adds a value. It returns a *FullError when there is no room.
func (r *Ring[T]) Put(value T) error {
	select {
	case r.values <- value:
		return nil
	default:
		return &FullError{Name: r.name, Capacity: cap(r.values)}
	}
}

// Values returns the channel from which a reader takes the values.
func (r *Ring[T]) Values() <-chan T { return r.values }

// Drain returns up to most values that are waiting, without blocking.
func (r *Ring[T]) Drain(most int) []T {
	var drained []T
	for len(drained) < most {
		select {
		case value := <-r.values:
			drained = append(drained, value)
		default:
			return drained
		}
	}
	return drained
}

// Len returns the number of waiting values.
func (r *Ring[T]) Len() int { return len(r.values) }
