package buffer

import "sync"

// BodyOptions configures Bodies.
type BodyOptions struct {
	// LimitBytes bounds the sum of the bytes of all bodies.
	LimitBytes int
	// FreeBytes is the size up to which a body does not count, and is never refused.
	FreeBytes int
}

// BodyOptionsFor returns the options for a process with so much memory; zero means that it is
// unknown.
func BodyOptionsFor(memoryBytes int) BodyOptions {
	return BodyOptions{LimitBytes: orSmallest(memoryBytes) / bodyDivisor, FreeBytes: freeBytes}
}

// Bodies bounds the sum of the bytes of requests' bodies. A body that does not fit is refused, and
// one that was taken stays. Bodies is safe for concurrent use; a nil Bodies has no limit.
type Bodies struct {
	options BodyOptions

	mutex sync.Mutex
	// heldBytes is the sum over all bodies; guarded by mutex.
	heldBytes int
}

// NewBodies returns a bound on bodies, of which there are none yet.
func NewBodies(options BodyOptions) *Bodies { return &Bodies{options: options} }

// HeldBytes returns the sum of the bytes of the bodies.
func (b *Bodies) HeldBytes() int {
	if b == nil {
		return 0
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.heldBytes
}

// Open returns a body that holds nothing. owner names its sender in errors.
func (b *Bodies) Open(owner string) *Body { return &Body{bodies: b, owner: owner} }

// Body holds the bytes of one body. Its methods are called by one goroutine at a time. A nil Body
// holds nothing.
type Body struct {
	bodies *Bodies
	owner  string
	// bytes is guarded by the mutex of bodies.
	bytes int
}

// Resize sets the number of bytes that the body is about to have. It returns a *NoRoomError if they
// do not fit; the body then keeps what it has.
func (b *Body) Resize(bytes int) error {
	if b.bodies == nil {
		return nil
	}
	if bytes <= b.bodies.options.FreeBytes {
		bytes = 0
	}
	b.bodies.mutex.Lock()
	defer b.bodies.mutex.Unlock()
	limit := b.bodies.options.LimitBytes
	if bytes > b.bytes && bytes > limit-b.bodies.heldBytes+b.bytes {
		return &NoRoomError{Owner: b.owner, Bytes: bytes, HeldBytes: b.bodies.heldBytes, LimitBytes: limit, FitsLater: bytes <= limit}
	}
	b.bodies.heldBytes += bytes - b.bytes
	b.bytes = bytes
	return nil
}

// Close stops counting the body. It may be called more than once.
func (b *Body) Close() {
	if b == nil || b.bodies == nil {
		return
	}
	b.bodies.mutex.Lock()
	defer b.bodies.mutex.Unlock()
	b.bodies.heldBytes -= b.bytes
	b.bytes = 0
}
