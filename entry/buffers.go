package entry

import (
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/buffer"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// bufferLogPeriod is the shortest time between two lines on failed answers.
const bufferLogPeriod = time.Second

// newBudget returns the budget for all answers that the process buffers.
func newBudget(common telemetry.Common, memoryBytes int) *buffer.Budget {
	reporter := &bufferReporter{Common: common}
	options := buffer.OptionsFor(memoryBytes)
	options.OnFailure = reporter.report
	return buffer.New(options)
}

// bufferReporter counts and logs the answers that are failed for the budget.
type bufferReporter struct {
	telemetry.Common

	mutex sync.Mutex
	// logged is when a line was last logged; unlogged counts the failures since then.
	logged   time.Time
	unlogged int
}

func (r *bufferReporter) report(failure *buffer.ExhaustedError) {
	r.Count("Answers.BuffersFailed", 1)
	unlogged, isDue := r.takeUnlogged(r.Clock.Now())
	if !isDue {
		return
	}
	r.Log.Info("AnswerBufferFailed",
		"Sender", failure.Owner, "Bytes", failure.Bytes, "LimitBytes", failure.LimitBytes, "Unlogged", unlogged)
}

// takeUnlogged reports whether a line may be logged, and the number of failures that were
// not logged before.
func (r *bufferReporter) takeUnlogged(now time.Time) (unlogged int, isDue bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if now.Sub(r.logged) < bufferLogPeriod {
		r.unlogged++
		return 0, false
	}
	unlogged, r.unlogged, r.logged = r.unlogged, 0, now
	return unlogged, true
}
