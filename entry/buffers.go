package entry

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/buffer"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// bufferLogPeriod is the shortest time between two lines on failed answers.
const bufferLogPeriod = time.Second

// newBudget returns the budget for all answers that the process buffers.
func newBudget(common telemetry.Common, memoryBytes int) *buffer.Budget {
	lines := telemetry.NewThrottle(bufferLogPeriod)
	options := buffer.OptionsFor(memoryBytes)
	options.OnFailure = func(failure *buffer.ExhaustedError) { reportFailedAnswer(common, lines, failure) }
	return buffer.New(options)
}

// reportFailedAnswer counts and logs an answer that was failed for the budget.
func reportFailedAnswer(common telemetry.Common, lines *telemetry.Throttle, failure *buffer.ExhaustedError) {
	common.Count("Answers.BuffersFailed", 1)
	unlogged, isDue := lines.Take(common.Clock.Now())
	if !isDue {
		return
	}
	common.Log.Info("AnswerBufferFailed",
		"Sender", failure.Owner, "Bytes", failure.Bytes, "LimitBytes", failure.LimitBytes, "Unlogged", unlogged)
}
