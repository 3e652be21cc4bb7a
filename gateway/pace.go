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

// pace bounds the time of a caller for each step of its transfer.
type pace struct {
	clock clock.Clock
	// held may be nil.
	held holder
	// interrupt ends the current read or write.
	interrupt func()

	mutex sync.Mutex
	// timer is nil before the first step; guarded by mutex, as all fields below.
	timer clockwork.Timer
	// isStepping is true during a step.
	isStepping bool
	isStalled  bool
	isCut      bool
}

// begin begins a step.
func (p *pace) begin() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.isStepping = true
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
	if p.isStalled {
		p.isStalled = false
		p.resume()
	}
	return p.isCut
}

// expire is called when the timer ends.
func (p *pace) expire() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	switch {
	case !p.isStepping || p.isCut:
	case p.isStalled:
		p.isCut = true
		p.interrupt()
	default:
		p.isStalled = true
		p.timer.Reset(maxStepTime - stallTime)
		p.stall()
	}
}

func (p *pace) stall() {
	if p.held != nil {
		p.held.Stall(p.cut)
	}
}

func (p *pace) resume() {
	if p.held != nil {
		p.held.Resume()
	}
}

// cut ends a step that has stalled.
func (p *pace) cut() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.isStepping && p.isStalled && !p.isCut {
		p.isCut = true
		p.interrupt()
	}
}
