package gateway

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cranberrywalk/cranberrywalk/clock"
)

const (
	// stepBytes is the unit in which the progress of a caller is measured.
	stepBytes = 64 << 10
	// stallTime is how long a caller may take for a step while others need its room.
	stallTime = 500 * time.Millisecond
	// maxStepTime is how long a caller may take for a step at any time.
	maxStepTime = 10 * time.Second
)

// holder counts the bytes that are held for a caller. It may call cut between Stall and Resume, for
// the sake of others.
type holder interface {
	Stall(cut func())
	Resume()
}

// maxStalls is how many times in a row a caller may have made no progress within stallTime.
const maxStalls = int(maxStepTime / stallTime)

// pace bounds the time of a caller for each step of its transfer.
type pace struct {
	clock clock.Clock
	// held may be nil.
	held holder
	// interrupt ends the current read or write.
	interrupt func()
	// pending returns how many bytes are on the way to the caller, if that is known. It may be nil.
	pending func() (count int, isKnown bool)

	mutex sync.Mutex
	// timer is nil before the first step; guarded by mutex, as all fields below.
	timer clockwork.Timer
	// isStepping is true during a step.
	isStepping bool
	// nextLook is when the timer ends. It may have ended for an earlier step just before.
	nextLook time.Time
	// stalls counts how often in a row the caller has made no progress within stallTime.
	stalls int
	// lastPending is what pending returned last, or unknownPending. The system call is saved at the
	// begin of a step if nothing is held.
	lastPending int
	isCut       bool
}

// begin begins a step.
func (p *pace) begin() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.isStepping = true
	p.lastPending = unknownPending
	if p.held != nil {
		p.lastPending = p.readPending()
	}
	p.nextLook = p.clock.Now().Add(stallTime)
	if p.timer == nil {
		p.timer = p.clock.AfterFunc(stallTime, p.expire)
		return
	}
	p.timer.Reset(stallTime)
}

// end ends a step. It reports whether the caller was too slow; nothing is interrupted afterward.
func (p *pace) end() (isCut bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.isStepping = false
	p.timer.Stop()
	p.resume()
	return p.isCut
}

// expire is called when the timer ends.
func (p *pace) expire() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.clock.Now()
	if !p.isStepping || p.isCut || now.Before(p.nextLook) {
		return
	}
	p.nextLook = now.Add(stallTime)
	if p.hasProgressed() {
		p.resume()
	} else {
		p.stalls++
	}
	switch p.stalls {
	case maxStalls:
		p.isCut = true
		p.interrupt()
		return
	case 1:
		if p.held != nil {
			p.held.Stall(p.cut)
		}
	}
	p.timer.Reset(stallTime)
}

// hasProgressed reports whether a whole step has reached the caller since the last look, or the kernel
// has taken more. The mutex must be held.
func (p *pace) hasProgressed() bool {
	last, now := p.lastPending, p.readPending()
	if last == unknownPending {
		p.lastPending = now
		return false
	}
	if now == unknownPending || now <= last && now > last-stepBytes {
		return false
	}
	p.lastPending = now
	return true
}

// unknownPending stands for a number of bytes on the way that is not known.
const unknownPending = -1

// readPending returns how many bytes are on the way to the caller, or unknownPending.
func (p *pace) readPending() int {
	if p.pending == nil {
		return unknownPending
	}
	count, isKnown := p.pending()
	if !isKnown {
		return unknownPending
	}
	return count
}

// resume ends a stall. The mutex must be held.
func (p *pace) resume() {
	if p.stalls > 0 && p.held != nil {
		p.held.Resume()
	}
	p.stalls = 0
}

// cut ends a step that has stalled.
func (p *pace) cut() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.isStepping && p.stalls > 0 && !p.isCut {
		p.isCut = true
		p.interrupt()
	}
}
