package engine

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cranberrywalk/cranberrywalk/standin"
)

// answer writes the words of one stream to the caller.
type answer struct {
	engine *Engine
	w      http.ResponseWriter
	r      *http.Request
	stream *stream
	model  string
	isChat bool
	// id is "cmpl-" followed by the request ID.
	id           string
	finishReason string
	fault        Fault
	// faultAfter is the number of words that are sent before FaultTruncate or
	// FaultStall takes effect.
	faultAfter int
	// words counts the words received from the stream.
	words int
}

// write sends the answer as the fault prescribes.
func (a *answer) write(asEvents bool) {
	if a.fault == FaultSilent {
		a.hang()
	}
	a.setRequestID()
	if asEvents {
		a.writeEvents()
		return
	}
	a.writeDocument()
}

// setRequestID sets the ID of the answer and the X-Request-Id of the response.
func (a *answer) setRequestID() {
	id := a.stream.id
	if a.fault == FaultCross {
		id = "foreign-" + id
	}
	a.id = "cmpl-" + id
	a.w.Header().Set(requestIDHeader, id)
}

// next returns the next word, and false after the last one. It aborts the request
// when the caller has disconnected or the engine has crashed or stopped.
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

// hang sends nothing more until the caller has disconnected or the engine has
// crashed or stopped, and then aborts the request. It does not return.
func (a *answer) hang() {
	select {
	case <-a.r.Context().Done():
	case <-a.engine.Crashed():
	case <-a.engine.Done():
	}
	standin.Abort()
}

// applyFault aborts or stalls a streamed answer after faultAfter words, if the
// fault is FaultTruncate or FaultStall.
func (a *answer) applyFault() {
	if a.words < a.faultAfter {
		return
	}
	switch a.fault {
	case FaultTruncate:
		standin.Abort()
	case FaultStall:
		a.hang()
	}
}

// writeDocument writes the answer as one JSON document.
func (a *answer) writeDocument() {
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

// writeEvents writes the answer as server-sent events.
func (a *answer) writeEvents() {
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.WriteHeader(http.StatusOK)
	a.flush()
	a.applyFault()
	for next, ok := a.next(); ok; next, ok = a.next() {
		a.writeEvent(a.completion(next, false, true))
		a.applyFault()
	}
	a.writeEvent(a.completion("", true, true))
	_, _ = a.w.Write([]byte("data: [DONE]\n\n"))
	a.flush()
}

func (a *answer) writeEvent(message completion) {
	data, err := json.Marshal(message)
	if err != nil {
		standin.Abort()
	}
	_, _ = a.w.Write([]byte("data: " + string(data) + "\n\n"))
	a.flush()
}

// flush sends the buffered data. Its error is ignored: when the caller has
// disconnected, next finds the request's context done.
func (a *answer) flush() { _ = http.NewResponseController(a.w).Flush() }

// completion returns a whole answer or a chunk. The last one holds the usage.
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
