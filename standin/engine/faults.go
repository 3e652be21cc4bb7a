package engine

import (
	"bytes"
	"net/http"
	"sync"

	"github.com/cranberrywalk/cranberrywalk/standin"
)

// Fault is what goes wrong with an answer.
type Fault string

// The faults of an engine.
const (
	FaultNone Fault = ""
	// FaultTruncate closes the connection after a number of tokens.
	FaultTruncate Fault = "Truncate"
	// FaultStall sends a number of tokens and then nothing more, on a
	// connection that stays open.
	FaultStall Fault = "Stall"
	// FaultSilent never answers.
	FaultSilent Fault = "Silent"
	// FaultCross answers with the identity of another request.
	FaultCross Fault = "Cross"
	// FaultRefuse answers 503 and does not run the request.
	FaultRefuse Fault = "Refuse"
)

// Faults are the faults that are switched on.
type Faults struct {
	standin.Counted[Fault]
	// After is the number of tokens before FaultTruncate and FaultStall.
	After int
	// Poison crashes the engine when a prompt contains it.
	Poison string
	// SlowFactor makes every step take longer; 0 stands for 1.
	SlowFactor float64
}

// SetFaults replaces the faults that are switched on.
func (e *Engine) SetFaults(faults Faults) { e.faults.Set(faults) }

func (e *Engine) nextFault() (Fault, int) {
	var hit Fault
	after := 0
	e.faults.Update(func(faults *Faults) {
		hit = faults.Take()
		after = faults.After
	})
	return hit, after
}

func (e *Engine) isPoison(prompt []byte) bool {
	poison := e.faults.Get().Poison
	return poison != "" && bytes.Contains(prompt, []byte(poison))
}

func (e *Engine) slowdown() float64 {
	if factor := e.faults.Get().SlowFactor; factor > 0 {
		return factor
	}
	return 1
}

// life tells whether the engine has crashed.
type life struct {
	mu      sync.Mutex
	crashed chan struct{}
}

// Crashed returns a channel that is closed when the engine crashes.
func (e *Engine) Crashed() <-chan struct{} {
	e.life.mu.Lock()
	defer e.life.mu.Unlock()
	return e.life.crashed
}

// Crash makes the engine drop every connection until Restart.
func (e *Engine) Crash() {
	e.life.mu.Lock()
	defer e.life.mu.Unlock()
	if !isClosed(e.life.crashed) {
		close(e.life.crashed)
	}
}

// Restart brings a crashed engine back with an empty cache.
func (e *Engine) Restart() {
	e.batch.clear()
	e.life.mu.Lock()
	defer e.life.mu.Unlock()
	if isClosed(e.life.crashed) {
		e.life.crashed = make(chan struct{})
	}
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// dropWhenCrashed closes the connections of requests to a crashed engine.
func (e *Engine) dropWhenCrashed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isClosed(e.Crashed()) {
			standin.Abort()
		}
		next.ServeHTTP(w, r)
	})
}
