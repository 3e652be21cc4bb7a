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
// not fit is refused, and one that was taken stays, unless its sender stalls. Bodies is safe for
// concurrent use; a nil Bodies has no limit.
type Bodies struct {
	options BodyOptions

	mutex sync.Mutex
	// heldBytes is the sum over all bodies; guarded by mutex.
	heldBytes int
	// stalled holds the bodies whose senders send nothing; guarded by mutex.
	stalled map[*Body]struct{}
	// heldBy is the sum over the bodies of each owner that has any; guarded by mutex.
	heldBy map[string]int
}

// NewBodies returns a bound on bodies, of which there are none yet.
func NewBodies(options BodyOptions) *Bodies {
	return &Bodies{options: options, heldBy: make(map[string]int), stalled: make(map[*Body]struct{})}
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
	// bytes is guarded by the mutex of bodies, as the fields below.
	bytes int
	// cut ends the reading of a body whose sender sends nothing. It is nil otherwise.
	cut func()
	// isDropped is true once the body was dropped for the sake of others.
	isDropped bool
}

// Resize sets the number of bytes that the body is about to have. Bodies whose senders send nothing are
// dropped for it. It returns a *NoRoomError if it does not fit even so; the body then keeps what it has.
// It returns a *DroppedError if the body itself was dropped.
func (b *Body) Resize(bytes int) error {
	dropped, err := b.resize(bytes)
	for _, other := range dropped {
		other.cut()
	}
	return err
}

func (b *Body) resize(bytes int) (dropped []*Body, err error) {
	if b.bodies == nil {
		return nil, nil
	}
	if bytes <= b.bodies.options.FreeBytes {
		bytes = 0
	}
	b.bodies.mutex.Lock()
	defer b.bodies.mutex.Unlock()
	if b.isDropped {
		return nil, &DroppedError{Owner: b.owner}
	}
	fitsLater := bytes <= b.bodies.options.LimitBytes/ownerDivisor
	for bytes > b.bytes && !b.bodies.fits(b.owner, bytes-b.bytes) {
		stalled := b.bodies.largestStalled()
		if stalled == nil || !fitsLater {
			return dropped, b.bodies.noRoom(b.owner, bytes)
		}
		b.bodies.drop(stalled)
		dropped = append(dropped, stalled)
	}
	b.bodies.add(b.owner, bytes-b.bytes)
	b.bytes = bytes
	return dropped, nil
}

// Stall tells that the sender of the body sends nothing. Until Resume, the body may be dropped for the
// sake of others; cut is called then.
func (b *Body) Stall(cut func()) {
	if b.bodies == nil {
		return
	}
	b.bodies.mutex.Lock()
	defer b.bodies.mutex.Unlock()
	if b.bytes > 0 && !b.isDropped {
		b.cut = cut
		b.bodies.stalled[b] = struct{}{}
	}
}

// Resume tells that the sender goes on.
func (b *Body) Resume() {
	if b.bodies == nil {
		return
	}
	b.bodies.mutex.Lock()
	defer b.bodies.mutex.Unlock()
	delete(b.bodies.stalled, b)
}

// Settle tells that the body is whole: it is not dropped any more. It returns a *DroppedError if it was
// before.
func (b *Body) Settle() error {
	if b.bodies == nil {
		return nil
	}
	b.bodies.mutex.Lock()
	defer b.bodies.mutex.Unlock()
	delete(b.bodies.stalled, b)
	if b.isDropped {
		return &DroppedError{Owner: b.owner}
	}
	return nil
}

// Close stops counting the body. It may be called more than once.
func (b *Body) Close() {
	if b == nil || b.bodies == nil {
		return
	}
	b.bodies.mutex.Lock()
	defer b.bodies.mutex.Unlock()
	b.bodies.remove(b)
}

// largestStalled returns the largest body whose sender sends nothing, or nil if there is none. The mutex
// must be held.
func (b *Bodies) largestStalled() *Body {
	var largest *Body
	for body := range b.stalled {
		if largest == nil || body.bytes > largest.bytes {
			largest = body
		}
	}
	return largest
}

// drop drops a body for the sake of others. The mutex must be held.
func (b *Bodies) drop(body *Body) {
	body.isDropped = true
	b.remove(body)
}

// remove stops counting a body. The mutex must be held.
func (b *Bodies) remove(body *Body) {
	b.add(body.owner, -body.bytes)
	body.bytes = 0
	delete(b.stalled, body)
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
