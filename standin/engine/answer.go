package engine

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cranberrywalk/cranberrywalk/standin"
)

// answer writes the words of one stream to its caller.
type answer struct {
	engine *Engine
	w      http.ResponseWriter
	r      *http.Request
	stream *stream
	model  string
	isChat bool
	// id is "cmpl-" and the identity of the request.
	id           string
	finishReason string
	fault        Fault
	// after is the number of words before FaultTruncate and FaultStall.
	after int
	// words counts the words that were taken from the stream.
	words int
}

// write sends the answer, as far as the fault lets it.
func (a *answer) write(asEvents bool) {
	if a.fault == FaultSilent {
		a.hang()
	}
	a.identify()
	if asEvents {
		a.events()
		return
	}
	a.whole()
}

// identify echoes the identity of the request.
func (a *answer) identify() {
	id := a.stream.id
	if a.fault == FaultCross {
		id = "foreign-" + id
	}
	a.id = "cmpl-" + id
	a.w.Header().Set(requestIDHeader, id)
}

// next returns the next word, and false after the last one. It does not
// return when the caller has left or the engine has crashed or stopped.
func (a *answer) next() (string, bool) {
	select {
	case <-a.engine.Crashed():
		standin.Abort()
	default:
	}
	select {
	case next, ok := <-a.stream.words:
		if ok {
			a.words++
		}
		return next, ok
	case <-a.r.Context().Done():
	case <-a.engine.Crashed():
	case <-a.engine.Done():
	}
	standin.Abort()
	return "", false
}

// hang keeps the connection open without a further byte until the caller has
// left or the engine has crashed or stopped. It does not return.
func (a *answer) hang() {
	select {
	case <-a.r.Context().Done():
	case <-a.engine.Crashed():
	case <-a.engine.Done():
	}
	standin.Abort()
}

// cutOff ends a streamed answer after the number of words that the fault
// lets through.
func (a *answer) cutOff() {
	if a.words < a.after {
		return
	}
	switch a.fault {
	case FaultTruncate:
		standin.Abort()
	case FaultStall:
		a.hang()
	}
}

// whole writes the answer as one JSON document.
func (a *answer) whole() {
	var text strings.Builder
	for next, ok := a.next(); ok; next, ok = a.next() {
		text.WriteString(next)
	}
	message := a.completion(text.String(), true, false)
	switch a.fault {
	case FaultStall:
		a.hang()
	case FaultTruncate:
		standin.RespondTruncated(a.w, message)
	}
	standin.Respond(a.w, http.StatusOK, message)
}

// events writes the answer as server-sent events.
func (a *answer) events() {
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.WriteHeader(http.StatusOK)
	a.flush()
	a.cutOff()
	for next, ok := a.next(); ok; next, ok = a.next() {
		a.event(a.completion(next, false, true))
		a.cutOff()
	}
	a.event(a.completion("", true, true))
	_, _ = a.w.Write([]byte("data: [DONE]\n\n"))
	a.flush()
}

func (a *answer) event(message completion) {
	data, err := json.Marshal(message)
	if err != nil {
		standin.Abort()
	}
	_, _ = a.w.Write([]byte("data: " + string(data) + "\n\n"))
	a.flush()
}

// flush sends what was written. A caller that has left ends the context of
// the request, which next sees.
func (a *answer) flush() { _ = http.NewResponseController(a.w).Flush() }

// completion returns an answer or a chunk. The last one has the usage.
func (a *answer) completion(text string, last, isChunk bool) completion {
	message := completion{
		ID:      a.id,
		Object:  "text_completion",
		Created: a.engine.clock.Now().Unix(),
		Model:   a.model,
		Choices: []choice{{}},
	}
	part := &message.Choices[0]
	switch {
	case !a.isChat:
		part.Text = &text
	case isChunk:
		message.Object = "chat.completion.chunk"
		part.Delta = &chatMessage{Content: text}
	default:
		message.Object = "chat.completion"
		part.Message = &chatMessage{Role: "assistant", Content: text}
	}
	if last {
		part.FinishReason = &a.finishReason
		message.Usage = a.usage()
	}
	return message
}

func (a *answer) usage() *usage {
	return &usage{
		PromptTokens:        a.stream.promptTokens,
		CompletionTokens:    a.words,
		TotalTokens:         a.stream.promptTokens + a.words,
		PromptTokensDetails: promptDetails{CachedTokens: a.stream.cachedTokens},
	}
}
