package measure

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/route"
)

// kind groups the calls of a workload.
type kind int

// The kinds of calls.
const (
	sharedPrompt kind = iota
	chatTurn
	tagging
	lessonPlan
	question
	confirmation
	roster
	kinds
)

// call is one request on its way through the rig.
type call struct {
	kind  kind
	route route.Call
	// answer is the number of tokens to generate.
	answer int
	// bound are the prompt tokens that an endless cache shared by all
	// runners would prefill.
	bound int

	// prompt is the number of tokens of the prompt without text so far.
	prompt int

	daemon *daemon
	// engine is where the call is; it is nil before and after.
	engine   *engine
	decision route.Decision
	flight   route.Flight

	arrived, first, ended time.Duration
	refused               bool
	retryAfter            time.Duration
	// uncached are the tokens of the last prefill, prefilled of all.
	uncached, prefilled int
	// moves counts how often the call was resumed at another runner.
	moves int
	// generated counts the answer's tokens so far; it is exact when the call
	// is not in a batch.
	generated int
	// running says that the call is in the batch of its engine since
	// startStep, when it had startTokens.
	running                bool
	startStep, startTokens int
}

// blocks returns the hashed blocks of the prompt.
func (c *call) blocks() []uint64 { return c.route.Blocks }

// prefill notes that all but the cached tokens of the prompt and of the text
// so far have to be prefilled.
func (c *call) prefill(cached int) {
	c.uncached = c.route.PromptTokens - min(cached, c.route.PromptTokens)
	c.prefilled += c.uncached
}

// between returns the mean time between the tokens of the answer.
func (c *call) between() time.Duration {
	if c.answer < 2 {
		return 0
	}
	return (c.ended - c.first) / time.Duration(c.answer-1)
}

// onTime reports whether the call was answered within both targets.
func (c *call) onTime() bool {
	return !c.refused && c.ended > 0 &&
		c.first-c.arrived <= c.route.FirstToken && c.between() <= c.route.BetweenTokens
}
