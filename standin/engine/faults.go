package engine

import (
	"bytes"
	"net/http"
	"sync"

	"github.com/cranberrywalk/cranberrywalk/standin"
)

// Fault is how a response fails.
type Fault string

// The faults of an engine.
const (
	FaultNone Fault = ""
	// FaultTruncate closes the connection after a number of words, or in the
	// middle of an answer that is not streamed.
	FaultTruncate Fault = "Truncate"
	// FaultStall sends a number of words and then nothing more, but leaves the
	// connection open.
	FaultStall Fault = "Stall"
	// FaultSilent never responds.
	FaultSilent Fault = "Silent"
	// FaultCross responds with the ID of another request.
	FaultCross Fault = "Cross"
	// FaultRefuse responds with 503 and does not run the request.
	FaultRefuse Fault = "Refuse"
)

// Faults are the active faults.
type Faults struct {
	standin.CountedFault[Fault]
	// After is the number of words that are sent before FaultTruncate or
	// FaultStall takes effect in a streamed answer.
	After int
	// Poison is a text that crashes the engine when a prompt contains it.
	Poison string
	// SlowFactor multiplies the duration of every step; 0 stands for 1.
	SlowFactor float64
}

// SetFaults replaces the active faults.
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

func (e *Engine) containsPoison(prompt []byte) bool {
	poison := e.faults.Get().Poison
	return poison != "" && bytes.Contains(prompt, []byte(poison))
}

func (e *Engine) slowdown() float64 {
	if factor := e.faults.Get().SlowFactor; factor > 0 {
		return factor
	}
	return 1
}

// crashState holds whether the engine has crashed; crashed is closed if so.
type crashState struct {
	mu      sync.Mutex
	crashed chan struct{}
}

// Crashed returns a channel that is closed when the engine crashes. After a
// restart it returns a new one.
func (e *Engine) Crashed() <-chan struct{} {
	e.crashState.mu.Lock()
	defer e.crashState.mu.Unlock()
	return e.crashState.crashed
}

// Crash makes the engine close every connection until Restart.
func (e *Engine) Crash() {
	e.crashState.mu.Lock()
	defer e.crashState.mu.Unlock()
	if !isClosed(e.crashState.crashed) {
		close(e.crashState.crashed)
	}
}

// Restart restarts the engine without streams and with an empty cache.
func (e *Engine) Restart() {
	e.batch.clear()
	e.crashState.mu.Lock()
	defer e.crashState.mu.Unlock()
	if isClosed(e.crashState.crashed) {
		e.crashState.crashed = make(chan struct{})
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
