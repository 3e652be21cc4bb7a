package dispatch

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/cranberrywalk/cranberrywalk/backend"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// streamState is the part of a streamed model response that was received so far.
// It holds what is needed to continue the stream on another engine.
type streamState struct {
	request request.Request
	body    modelBody
	// maxTextBytes limits the length of text.
	maxTextBytes int
	// attempts counts the attempts that were started.
	attempts int
	// text is the text that was received.
	text []byte
	// tokens counts the chunks with text. Engines send one token per chunk.
	tokens int
	// priorTokens is the value of tokens when the current attempt started.
	priorTokens int
	// created is the creation time in the first chunk; all chunks must have the
	// same.
	created json.RawMessage
	// relayed is true when a chunk was relayed, or collected for a non-streaming response.
	relayed bool
	// roleSent is true when a chunk with a choice, which may carry the role, was
	// relayed.
	roleSent bool
	// finishReason is the finish reason that was relayed, or empty.
	finishReason string
	// choices holds the indexes of the choices that were relayed, and whether the finish
	// reason of each was.
	choices map[int]bool
	// usage is the usage of the complete response, or nil.
	usage json.RawMessage
	// lastChunk is the last relayed chunk that has a choice.
	lastChunk []byte
	// unresumable is true when content was relayed that cannot be continued from
	// the text alone, or when the text exceeded maxTextBytes.
	unresumable bool
	// collectFailed is true when the stream could not be assembled into a
	// non-streaming response.
	collectFailed bool
}

func newStreamState(r request.Request, maxTextBytes int) *streamState {
	s := &streamState{request: r, maxTextBytes: maxTextBytes}
	if r.IsModelCall() {
		s.body = parseBody(r)
	}
	return s
}

// collectsStream reports whether a non-streaming response is assembled from a
// stream, because another engine can continue a stream after a failure.
func (s *streamState) collectsStream() bool {
	return s.request.IsModelCall() && !s.request.Stream && !s.collectFailed && s.body.continuable()
}

// disableCollecting makes the next attempt request a non-streaming response.
func (s *streamState) disableCollecting() {
	*s = streamState{request: s.request, body: s.body, maxTextBytes: s.maxTextBytes, attempts: s.attempts, collectFailed: true}
}

// resumable reports whether another engine can continue from what the caller has
// received.
func (s *streamState) resumable() bool {
	if s.unresumable || s.finishReason != "" {
		return false
	}
	return s.tokens == 0 || s.body.continuable()
}

// complete reports whether the caller has received the complete text of all choices.
func (s *streamState) complete() bool {
	return len(s.choices) >= s.body.choices() && s.endable()
}

// endable reports whether the text is complete if the engine ends the stream now. An engine
// may send fewer choices than the request asks for.
func (s *streamState) endable() bool {
	if s.finishReason != "" {
		return !slices.Contains(slices.Collect(maps.Values(s.choices)), false)
	}
	return s.tokens > 0 && s.remainingTokens() == 0 && !s.unresumable
}

// begun reports whether the answer of another engine can only continue the stream: the
// caller has received a part, or the other engine gets the text so far.
func (s *streamState) begun() bool {
	return s.tokens > 0 || s.relayed && s.request.Stream
}

// progressed reports whether the current attempt has produced tokens.
func (s *streamState) progressed() bool { return s.tokens > s.priorTokens }

// remainingTokens returns how many tokens may follow, or -1 without a limit: an engine does not
// know the length that is assumed for a request without one.
func (s *streamState) remainingTokens() int {
	if s.request.MaxTokens <= 0 || !s.body.limitsTokens() {
		return -1
	}
	return max(s.request.MaxTokens-s.tokens, 0)
}

// startAttempt records the start of an attempt.
func (s *streamState) startAttempt() {
	s.attempts++
	s.priorTokens = s.tokens
}

// nextBody returns the body of an attempt that starts now.
func (s *streamState) nextBody() []byte {
	if !s.request.IsModelCall() {
		return s.request.Body
	}
	if s.tokens == 0 {
		return s.body.initialBody(s.collectsStream())
	}
	return s.body.continuation(string(s.text), s.remainingTokens(), s.collectsStream())
}

// addChunk adds a chunk and returns the payload to relay to the caller, or nil.
func (s *streamState) addChunk(chunk backend.Chunk) []byte {
	text, nonText := textOf(s.request.Kind, chunk.ChunkFields)
	finishReason := finishReasonOf(chunk)
	payload := chunk.Payload
	if s.attempts > 1 {
		payload = s.rewrite(chunk)
	} else if s.created == nil {
		s.created = createdOf(chunk.Payload)
	}
	if chunk.Usage != nil {
		s.usage = parseObject(payload)["usage"]
	}
	if s.isHidden(chunk, text != "" || finishReason != "" || nonText) {
		return nil
	}
	s.relayed = true
	if len(chunk.Choices) > 0 {
		s.roleSent = true
		s.lastChunk = payload
	}
	s.finishReason = max(s.finishReason, finishReason)
	s.addChoices(chunk.Choices)
	s.addText(text, nonText)
	return payload
}

// addChoices adds the choices of a chunk.
func (s *streamState) addChoices(choices []backend.Choice) {
	if s.choices == nil {
		s.choices = make(map[int]bool)
	}
	for _, choice := range choices {
		isFinished := choice.FinishReason != nil && *choice.FinishReason != ""
		s.choices[choice.Index] = s.choices[choice.Index] || isFinished
	}
}

// finishReasonOf returns the first finish reason in a chunk, or an empty string.
func finishReasonOf(chunk backend.Chunk) string {
	for _, choice := range chunk.Choices {
		if choice.FinishReason != nil && *choice.FinishReason != "" {
			return *choice.FinishReason
		}
	}
	return ""
}

// isHidden reports whether a chunk is not relayed to the caller: a repeated chunk
// with only the role, or a usage chunk that only the dispatcher requested.
func (s *streamState) isHidden(chunk backend.Chunk, hasContent bool) bool {
	if chunk.Usage != nil {
		return len(chunk.Choices) == 0 && s.body.addsUsage()
	}
	return s.attempts > 1 && s.roleSent && !hasContent
}

func (s *streamState) addText(text string, nonText bool) {
	if nonText || len(s.text)+len(text) > s.maxTextBytes {
		s.unresumable = true
	}
	if text == "" {
		return
	}
	s.tokens++
	if !s.unresumable {
		s.text = append(s.text, text...)
	}
}

// textOf returns the text of a chunk, and whether the chunk has other content.
func textOf(kind request.Kind, fields backend.ChunkFields) (string, bool) {
	if len(fields.Choices) == 0 {
		return "", false
	}
	choice := fields.Choices[0]
	nonText := len(fields.Choices) > 1 || choice.Index != 0
	if kind == request.Completion {
		return choice.Text, nonText
	}
	var text string
	for name, value := range choice.Delta {
		switch {
		case name == "content" && json.Unmarshal(value, &text) == nil:
		case name == "role", string(value) == "null":
		default:
			nonText = true
		}
	}
	return text, nonText
}
