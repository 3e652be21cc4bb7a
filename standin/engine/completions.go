package engine

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrywalk/cranberrywalk/prefix"
	"github.com/cranberrywalk/cranberrywalk/standin"
)

// requestIDHeader carries the identity of a request in both directions.
const requestIDHeader = "X-Request-Id"

// maxAnswerTokens bounds the length of an answer.
const maxAnswerTokens = 32_768

// prompt is what an answer is computed from.
type prompt struct {
	// text is the whole prompt, which the prefix cache refers to.
	text []byte
	// original is the prompt without the words that were generated before.
	original []byte
	// position is the number of words that were generated before.
	position int
	isChat   bool
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var request completionRequest
	if !standin.Decode(w, r, &request) {
		return
	}
	if len(request.Messages) == 0 {
		refuse(w, http.StatusBadRequest, "messages is empty")
		return
	}
	e.serve(w, r, request, chatPrompt(request))
}

// chatPrompt renders a chat. The last message of a continuation holds the
// words that were generated before.
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
		refuse(w, http.StatusBadRequest, "prompt is empty")
		return
	}
	text := []byte(request.Prompt)
	original, position := splitWords(text)
	e.serve(w, r, request, prompt{text: text, original: original, position: position})
}

// serve queues the request and writes its answer.
func (e *Engine) serve(w http.ResponseWriter, r *http.Request, request completionRequest, p prompt) {
	if !e.serves(request.Model) {
		refuse(w, http.StatusNotFound, fmt.Sprintf("model %q is not loaded", request.Model))
		return
	}
	if request.MaxTokens > maxAnswerTokens {
		refuse(w, http.StatusBadRequest, "max_tokens is too large")
		return
	}
	fault, after := e.nextFault()
	if fault == FaultRefuse {
		refuse(w, http.StatusServiceUnavailable, "the engine refuses requests")
		return
	}
	s := e.newStream(r, request, p)
	if err := e.batch.submit(s); err != nil {
		refuse(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	defer s.cancelled.Store(true)
	e.runs.Record(r, e.clock.Now())
	if e.isPoison(p.text) {
		e.Crash()
	}
	a := &answer{
		engine: e, w: w, r: r, stream: s, model: request.Model, isChat: p.isChat,
		finishReason: finishReason(request), fault: fault, after: after,
	}
	a.write(request.Stream)
}

func (e *Engine) newStream(r *http.Request, request completionRequest, p prompt) *stream {
	length := request.MaxTokens
	if length <= 0 {
		length = max(1, e.parameters.AnswerTokens-p.position)
	}
	return &stream{
		id:           e.identity(r),
		seed:         xxhash.Sum64(p.original),
		position:     p.position,
		remaining:    length,
		words:        make(chan string, length),
		blocks:       prefix.Blocks(p.text),
		promptTokens: prefix.Tokens(p.text),
		priority:     request.Priority,
	}
}

func (e *Engine) identity(r *http.Request) string {
	if id := r.Header.Get(requestIDHeader); id != "" {
		return id
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.served++
	return fmt.Sprintf("engine-%d", e.served)
}

// finishReason follows the OpenAI-style API: length when max_tokens ended the
// answer.
func finishReason(request completionRequest) string {
	if request.MaxTokens > 0 {
		return "length"
	}
	return "stop"
}

func refuse(w http.ResponseWriter, status int, message string) {
	standin.Respond(w, status, failure{Error: failureDetail{Message: message, Type: "invalid_request_error"}})
}
