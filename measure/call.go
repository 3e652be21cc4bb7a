package measure

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/route"
)

// callKind is the kind of a call in a workload.
type callKind int

// The kinds of calls.
const (
	// Calls of Porchlight to models. Tagging runs only at night and at the lowest
	// priority.
	sharedPrompt callKind = iota
	chatTurn
	tagging
	// Calls of the Trust to models.
	lessonPlan
	question
	// Calls of the Trust to the plain service.
	confirmation
	rosterRead
	// kindCount is the number of kinds.
	kindCount
)

// call is one simulated request.
type call struct {
	kind  callKind
	route route.Call
	// answerTokens is the number of tokens to generate.
	answerTokens int
	// prefillBound is the number of prompt tokens that would have to be
	// prefilled with one unlimited cache shared by all runners.
	prefillBound int

	// promptTokens is the length of the original prompt, without the tokens
	// generated before a move to another runner.
	promptTokens int

	daemon *daemon
	// engine is the engine that the call was sent to; nil before and after.
	engine   *engine
	decision route.Decision
	flight   route.Flight

	arrivedAt, firstTokenAt, endedAt time.Duration
	refused                          bool
	retryAfter                       time.Duration
	// uncachedTokens counts the tokens of the last prefill, prefilledTokens the
	// tokens of all prefills.
	uncachedTokens, prefilledTokens int
	// moves counts how often the call was resumed on another runner.
	moves int
	// generatedTokens counts the tokens generated so far. It is not updated
	// while the call is in a batch.
	generatedTokens int
	// running reports whether the call is in the batch of its engine, which
	// it joined at step startStep with startTokens generated tokens.
	running                bool
	startStep, startTokens int
}

// blocks returns the hashed blocks of the prompt.
func (c *call) blocks() []uint64 { return c.route.Blocks }

// recordPrefill records the prefill of all tokens of the prompt and the text
// generated so far, except for the cached ones.
func (c *call) recordPrefill(cached int) {
	c.uncachedTokens = c.route.PromptTokens - min(cached, c.route.PromptTokens)
	c.prefilledTokens += c.uncachedTokens
}

// meanTokenInterval returns the mean time between the tokens of the answer.
func (c *call) meanTokenInterval() time.Duration {
	if c.answerTokens < 2 {
		return 0
	}
	return (c.endedAt - c.firstTokenAt) / time.Duration(c.answerTokens-1)
}

// onTime reports whether the call was answered within both latency targets.
func (c *call) onTime() bool {
	return !c.refused && c.endedAt > 0 &&
		c.firstTokenAt-c.arrivedAt <= c.route.FirstToken && c.meanTokenInterval() <= c.route.BetweenTokens
}
