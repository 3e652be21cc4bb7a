// Package ring provides a bounded queue between goroutines whose writers never block.
package ring

import "fmt"

// FullError reports that a full ring rejected a value.
type FullError struct {
	Name     string
	Capacity int
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("ring %s is full with %d values", e.Name, e.Capacity)
}

// Ring is a FIFO queue of bounded capacity, safe for concurrent use. A full ring
// rejects values; it never blocks a writer.
type Ring[T any] struct {
	name string
	// values is buffered with the ring's capacity.
	values chan T
}

// New returns an empty ring with room for capacity values.
func New[T any](name string, capacity int) *Ring[T] {
	return &Ring[T]{name: name, values: make(chan T, capacity)}
}

// Put appends a value. It returns a *FullError when the ring is full.
func (r *Ring[T]) Put(value T) error {
	select {
	case r.values <- value:
		return nil
	default:
		return &FullError{Name: r.name, Capacity: cap(r.values)}
	}
}

// Values returns the channel from which the values are received.
func (r *Ring[T]) Values() <-chan T { return r.values }

// Drain removes and returns up to limit queued values, without blocking.
func (r *Ring[T]) Drain(limit int) []T {
	var drained []T
	for len(drained) < limit {
		select {
		case value := <-r.values:
			drained = append(drained, value)
		default:
			return drained
		}
	}
	return drained
}

// Len returns the number of queued values.
func (r *Ring[T]) Len() int { return len(r.values) }
