package engine

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrywalk/cranberrywalk/prefix"
	"github.com/cranberrywalk/cranberrywalk/standin"
)

// requestIDHeader holds the request ID in requests and in responses.
const requestIDHeader = "X-Request-Id"

// maxAnswerTokens limits the length of an answer.
const maxAnswerTokens = 32_768

// prompt is the input from which an answer is computed.
type prompt struct {
	// text is the whole prompt, from which the blocks of the prefix cache are
	// computed.
	text []byte
	// original is the prompt without the words that an earlier answer
	// generated.
	original []byte
	// position is the number of words that an earlier answer generated.
	position int
	isChat   bool
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var request completionRequest
	if !standin.Decode(w, r, &request) {
		return
	}
	if len(request.Messages) == 0 {
		respondError(w, http.StatusBadRequest, "messages is empty")
		return
	}
	e.serve(w, r, request, chatPrompt(request))
}

// chatPrompt renders a chat. In a continuation, the last message holds the words
// that an earlier answer generated.
func chatPrompt(request completionRequest) prompt {
	text := prefix.Render(request.Messages)
	last := len(request.Messages) - 1
	if !request.ContinueFinalMessage || request.Messages[last].Role != "assistant" {
		return prompt{text: text, original: text, isChat: true}
	}
	return prompt{
		text:     text,
		original: prefix.Render(request.Messages[:last]),
		position: len(strings.Fields(request.Messages[last].Content)),
		isChat:   true,
	}
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var request completionRequest
	if !standin.Decode(w, r, &request) {
		return
	}
	if request.Prompt == "" {
		respondError(w, http.StatusBadRequest, "prompt is empty")
		return
	}
	text := []byte(request.Prompt)
	original, position := splitGenerated(text)
	e.serve(w, r, request, prompt{text: text, original: original, position: position})
}

// serve queues the request and writes its answer.
func (e *Engine) serve(w http.ResponseWriter, r *http.Request, request completionRequest, p prompt) {
	if !e.isLoaded(request.Model) {
		respondError(w, http.StatusNotFound, fmt.Sprintf("model %q is not loaded", request.Model))
		return
	}
	if request.MaxTokens > maxAnswerTokens {
		respondError(w, http.StatusBadRequest, "max_tokens is too large")
		return
	}
	fault, after := e.nextFault()
	if fault == FaultRefuse {
		respondError(w, http.StatusServiceUnavailable, "the engine refuses requests")
		return
	}
	s := e.newStream(r, request, p)
	if err := e.batch.submit(s); err != nil {
		respondError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	defer s.cancelled.Store(true)
	e.runs.Record(r, e.clock.Now())
	if e.containsPoison(p.text) {
		e.Crash()
	}
	a := &answer{
		engine: e, w: w, r: r, stream: s, model: request.Model, isChat: p.isChat,
		finishReason: finishReason(request), fault: fault, faultAfter: after,
	}
	a.write(request.Stream)
}

func (e *Engine) newStream(r *http.Request, request completionRequest, p prompt) *stream {
	length := request.MaxTokens
	if length <= 0 {
		length = max(1, e.parameters.AnswerTokens-p.position)
	}
	return &stream{
		id:           e.requestID(r),
		seed:         xxhash.Sum64(p.original),
		position:     p.position,
		remaining:    length,
		words:        make(chan string, length),
		blocks:       prefix.Blocks(p.text),
		promptTokens: prefix.Tokens(p.text),
		priority:     request.Priority,
	}
}

func (e *Engine) requestID(r *http.Request) string {
	if id := r.Header.Get(requestIDHeader); id != "" {
		return id
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.generatedIDs++
	return fmt.Sprintf("engine-%d", e.generatedIDs)
}

// finishReason returns the finish reason as the OpenAI-style API defines it:
// "length" when max_tokens ended the answer.
func finishReason(request completionRequest) string {
	if request.MaxTokens > 0 {
		return "length"
	}
	return "stop"
}

func respondError(w http.ResponseWriter, status int, message string) {
	standin.Respond(w, status, errorResponse{Error: errorDetail{Message: message, Type: "invalid_request_error"}})
}
