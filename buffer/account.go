package buffer

// Account holds the bytes of one buffer. Its methods are called by one goroutine at a time.
type Account struct {
	budget    *Budget
	owner     string
	interrupt func()
	// counted is true once the buffer has exceeded FreeBytes. It does not
	// change back.
	counted bool

	// The fields below are guarded by the mutex of the budget.

	bytes int
	// cut ends the delivery of the buffer to a reader that takes nothing. It is nil otherwise.
	cut func()
	// closed is true when the account is no longer counted.
	closed bool
	// failure is set when the account was failed.
	failure *ExhaustedError
}

// Resize sets the number of bytes that the buffer is about to have. It returns an
// *ExhaustedError if the account was failed, now or before; the buffer must then be
// dropped.
func (a *Account) Resize(bytes int) error {
	if a.budget == nil || !a.counted && bytes <= a.budget.options.FreeBytes {
		return nil
	}
	failed := a.resize(bytes)
	for _, other := range failed {
		if other.cut != nil {
			other.cut()
			continue
		}
		if other != a {
			other.interrupt()
		}
		a.budget.options.OnFailure(other.failure)
	}
	return a.err()
}

func (a *Account) resize(bytes int) []*Account {
	a.budget.mutex.Lock()
	defer a.budget.mutex.Unlock()
	if a.closed {
		return nil
	}
	if !a.counted {
		a.counted = true
		a.budget.open[a] = struct{}{}
	}
	return a.budget.resize(a, bytes)
}

// Settle marks the buffer as complete: it still counts but is not failed any more. It
// returns an *ExhaustedError if the account was failed before.
func (a *Account) Settle() error {
	if !a.counted {
		return nil
	}
	a.budget.mutex.Lock()
	delete(a.budget.open, a)
	a.budget.mutex.Unlock()
	return a.err()
}

// Stall tells that the reader of a settled buffer takes nothing. Until Resume, the account may be
// failed for the sake of others; cut is called then.
func (a *Account) Stall(cut func()) {
	if !a.counted {
		return
	}
	a.budget.mutex.Lock()
	defer a.budget.mutex.Unlock()
	if a.closed {
		return
	}
	a.cut = cut
	a.budget.stalled[a] = struct{}{}
}

// Resume tells that the reader goes on.
func (a *Account) Resume() {
	if !a.counted {
		return
	}
	a.budget.mutex.Lock()
	defer a.budget.mutex.Unlock()
	if a.closed {
		return
	}
	a.cut = nil
	delete(a.budget.stalled, a)
}

// Close stops counting the buffer. It returns an *ExhaustedError if the account was failed
// before. It may be called more than once.
func (a *Account) Close() error {
	if !a.counted {
		return nil
	}
	a.budget.mutex.Lock()
	if !a.closed {
		a.budget.remove(a)
	}
	a.budget.mutex.Unlock()
	return a.err()
}

// err returns the failure as an error, or nil.
func (a *Account) err() error {
	a.budget.mutex.Lock()
	defer a.budget.mutex.Unlock()
	if a.failure == nil {
		return nil
	}
	return a.failure
}
