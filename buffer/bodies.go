package buffer

import "sync"

// BodyOptions configures Bodies.
type BodyOptions struct {
	// LimitBytes bounds the sum of the bytes of all bodies. One owner may hold half of what the
	// others leave of it.
	LimitBytes int
	// FreeBytes is the size up to which a body does not count, and is never refused.
	FreeBytes int
}

// BodyOptionsFor returns the options for a process with so much memory; zero means that it is
// unknown.
func BodyOptionsFor(memoryBytes int) BodyOptions {
	return BodyOptions{LimitBytes: orSmallest(memoryBytes) / bodyDivisor, FreeBytes: freeBytes}
}

// ownerDivisor divides what the others leave of the limit into what one owner may hold, so that no owner
// takes the room of all others.
const ownerDivisor = 2

// Bodies bounds the sum of the bytes of requests' bodies, and of those of each owner. A body that does
// not fit is refused, and one that was taken stays. Bodies is safe for concurrent use; a nil Bodies has no limit.
type Bodies struct {
	options BodyOptions

	mutex sync.Mutex
	// heldBytes is the sum over all bodies; guarded by mutex.
	heldBytes int
	// heldBy is the sum over the bodies of each owner that has any; guarded by mutex.
	heldBy map[string]int
}

// NewBodies returns a bound on bodies, of which there are none yet.
func NewBodies(options BodyOptions) *Bodies {
	return &Bodies{options: options, heldBy: make(map[string]int)}
}

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
	if bytes > b.bytes && !b.bodies.fits(b.owner, bytes-b.bytes) {
		return b.bodies.noRoom(b.owner, bytes)
	}
	b.bodies.add(b.owner, bytes-b.bytes)
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
	b.bodies.add(b.owner, -b.bytes)
	b.bytes = 0
}

// allowed returns what an owner may hold beside the others. The mutex must be held.
func (b *Bodies) allowed(owner string) int {
	others := b.heldBytes - b.heldBy[owner]
	return (b.options.LimitBytes - others) / ownerDivisor
}

// fits reports whether an owner may hold so many bytes more. The mutex must be held.
func (b *Bodies) fits(owner string, bytes int) bool {
	return b.heldBy[owner]+bytes <= b.allowed(owner)
}

// noRoom returns the error for a body that does not fit. The mutex must be held.
func (b *Bodies) noRoom(owner string, bytes int) *NoRoomError {
	return &NoRoomError{
		Owner: owner, Bytes: bytes, OwnerBytes: b.heldBy[owner], AllowedBytes: b.allowed(owner), HeldBytes: b.heldBytes,
		LimitBytes: b.options.LimitBytes, FitsLater: bytes <= b.options.LimitBytes/ownerDivisor,
	}
}

// add changes what an owner holds. The mutex must be held.
func (b *Bodies) add(owner string, bytes int) {
	b.heldBytes += bytes
	b.heldBy[owner] += bytes
	if b.heldBy[owner] == 0 {
		delete(b.heldBy, owner)
	}
}
