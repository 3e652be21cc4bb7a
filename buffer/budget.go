// Package buffer bounds the memory of buffers that grow with what others send. It
// performs no I/O.
package buffer

import "sync"

// Options configures a Budget.
type Options struct {
	// LimitBytes bounds the sum of the bytes that all accounts hold.
	LimitBytes int
	// FreeBytes is the size up to which a buffer does not count. Short answers are thus
	// never failed, and take no lock.
	FreeBytes int
	// OnFailure is called after an account was failed. It may be nil.
	OnFailure func(*ExhaustedError)
}

// smallestMemoryBytes is the memory of a process on the smallest VM.
const smallestMemoryBytes = 184 << 20

const (
	// answerDivisor and bodyDivisor divide the memory of a process into the shares that the bodies
	// of answers and of requests may hold. Until its garbage is collected, a buffer that grows is
	// there twice, and the rest of the process needs its own room.
	answerDivisor = 8
	bodyDivisor   = 3
	// freeBytes is the size up to which buffers do not count.
	freeBytes = 16 << 10
)

// DefaultOptions returns the defaults for a process on the smallest VM.
func DefaultOptions() Options { return OptionsFor(0) }

// OptionsFor returns the options for a process with so much memory; zero means that it is unknown.
func OptionsFor(memoryBytes int) Options {
	return Options{LimitBytes: orSmallest(memoryBytes) / answerDivisor, FreeBytes: freeBytes}
}

// orSmallest returns the memory of a process, or that of the smallest one if it is unknown.
func orSmallest(memoryBytes int) int {
	if memoryBytes <= 0 {
		return smallestMemoryBytes
	}
	return memoryBytes
}

// Budget bounds the sum of the bytes that its accounts hold. When the limit is exceeded,
// the stalled account that holds the most is failed, and if there is none, the open one that
// does, so that a few long bodies do not take the room of many shorter ones. Nobody waits for room.
// A Budget is safe for concurrent
// use; a nil Budget has no limit.
type Budget struct {
	options Options

	mutex sync.Mutex
	// heldBytes is the sum over all accounts.
	heldBytes int
	// open holds the accounts that count and may be failed.
	open map[*Account]struct{}
	// stalled holds the settled accounts whose readers take nothing.
	stalled map[*Account]struct{}
}

// New returns a budget without accounts.
func New(options Options) *Budget {
	if options.OnFailure == nil {
		options.OnFailure = func(*ExhaustedError) {}
	}
	return &Budget{options: options, open: make(map[*Account]struct{}), stalled: make(map[*Account]struct{})}
}

// HeldBytes returns the sum of the bytes that the accounts hold.
func (b *Budget) HeldBytes() int {
	if b == nil {
		return 0
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.heldBytes
}

// Open returns an account that holds nothing. owner names it in errors. interrupt is called
// when the account is failed because another one grows. It must end the reading that fills
// the buffer, and it may still be called after Settle or Close has returned the error.
func (b *Budget) Open(owner string, interrupt func()) *Account {
	return &Account{budget: b, owner: owner, interrupt: interrupt}
}

// resize sets the bytes of an account and fails accounts until the limit is kept. It
// returns the accounts that were failed. The mutex must be held.
func (b *Budget) resize(a *Account, bytes int) []*Account {
	b.heldBytes += bytes - a.bytes
	a.bytes = bytes
	var failed []*Account
	for b.heldBytes > b.options.LimitBytes {
		largest := largestOf(b.stalled)
		if largest == nil {
			largest = largestOf(b.open)
		}
		if largest == nil || largest.bytes == 0 {
			break
		}
		b.fail(largest)
		failed = append(failed, largest)
	}
	return failed
}

// largestOf returns the account that holds the most, or nil if there is none. The mutex of the budget
// must be held.
func largestOf(accounts map[*Account]struct{}) *Account {
	var largest *Account
	for a := range accounts {
		if largest == nil || a.bytes > largest.bytes {
			largest = a
		}
	}
	return largest
}

// fail takes an account out of the budget. The mutex must be held.
func (b *Budget) fail(a *Account) {
	a.failure = &ExhaustedError{Owner: a.owner, Bytes: a.bytes, LimitBytes: b.options.LimitBytes}
	b.remove(a)
}

// remove stops counting an account. The mutex must be held.
func (b *Budget) remove(a *Account) {
	b.heldBytes -= a.bytes
	a.bytes = 0
	a.closed = true
	delete(b.open, a)
	delete(b.stalled, a)
}
