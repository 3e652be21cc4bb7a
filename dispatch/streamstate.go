package dispatch

import (
	"encoding/json"

	"github.com/cranberrywalk/cranberrywalk/backend"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// transcript is what has come of a streamed model answer. From it a stream is
// continued at another engine.
type transcript struct {
	request request.Request
	body    modelBody
	limit   int
	// attempts counts the attempts that were begun.
	attempts int
	// text is what was passed on; its length is at most limit.
	text []byte
	// tokens counts the chunks with text, which are one token each.
	tokens int
	// earlier is the value of tokens when the current attempt began.
	earlier int
	// created is the time in the first chunk; all chunks carry it.
	created json.RawMessage
	// role is true when a chunk with the role was passed on.
	role bool
	// finish is the finish reason that was passed on, or empty.
	finish string
	// usage is the usage of the whole answer, or nil.
	usage json.RawMessage
	// last is the last chunk with a choice that was passed on.
	last []byte
	// opaque is true when something was passed on that text cannot continue.
	opaque bool
	// plain is true when the answer cannot be collected from a stream.
	plain bool
}

func newTranscript(r request.Request, limit int) *transcript {
	t := &transcript{request: r, limit: limit}
	if r.IsModelCall() {
		t.body = parseBody(r)
	}
	return t
}

// collects reports whether a caller who wants the answer in one piece gets it
// from a stream, which can be continued at another engine.
func (t *transcript) collects() bool {
	return t.request.IsModelCall() && !t.request.Stream && !t.plain && t.body.continuable()
}

// fallBack makes the next attempt ask for the answer in one piece.
func (t *transcript) fallBack() {
	*t = transcript{request: t.request, body: t.body, limit: t.limit, attempts: t.attempts, plain: true}
}

// resumable reports whether another engine can go on where the caller is.
func (t *transcript) resumable() bool {
	if t.opaque || t.finish != "" {
		return false
	}
	return t.tokens == 0 || t.body.continuable()
}

// complete reports whether the caller has the whole text.
func (t *transcript) complete() bool {
	return t.finish != "" || (t.tokens > 0 && t.left() == 0 && !t.opaque)
}

// progressed reports whether the current attempt has brought tokens.
func (t *transcript) progressed() bool { return t.tokens > t.earlier }

// left returns how many tokens may still come, or -1 without a bound.
func (t *transcript) left() int {
	if t.request.MaxTokens <= 0 {
		return -1
	}
	return max(t.request.MaxTokens-t.tokens, 0)
}

// nextBody returns the body of the next attempt.
func (t *transcript) nextBody() []byte {
	t.attempts++
	t.earlier = t.tokens
	if !t.request.IsModelCall() {
		return t.request.Body
	}
	if t.tokens == 0 {
		return t.body.first(t.collects())
	}
	return t.body.continuation(string(t.text), t.left(), t.collects())
}

// take adds a chunk and returns the payload that the caller gets, or nil.
func (t *transcript) take(chunk backend.Chunk) []byte {
	text, rest := textOf(t.request.Kind, chunk.ChunkFields)
	finish := finishOf(chunk)
	payload := chunk.Payload
	if t.attempts > 1 {
		payload = t.rewrite(chunk)
	} else if t.created == nil {
		t.created = createdOf(chunk.Payload)
	}
	if chunk.Usage != nil {
		t.usage = parseObject(payload)["usage"]
	}
	if t.isHidden(chunk, text != "" || finish != "" || rest) {
		return nil
	}
	if len(chunk.Choices) > 0 {
		t.role = true
		t.last = payload
	}
	t.finish = max(t.finish, finish)
	t.add(text, rest)
	return payload
}

// finishOf returns the finish reason in a chunk, or nothing.
func finishOf(chunk backend.Chunk) string {
	if len(chunk.Choices) == 0 || chunk.Choices[0].FinishReason == nil {
		return ""
	}
	return *chunk.Choices[0].FinishReason
}

// isHidden reports whether the caller does not get a chunk: a second one with
// the role alone, or a usage that only the system has asked for.
func (t *transcript) isHidden(chunk backend.Chunk, news bool) bool {
	if chunk.Usage != nil {
		return len(chunk.Choices) == 0 && t.body.addsUsage()
	}
	return t.attempts > 1 && t.role && !news
}

func (t *transcript) add(text string, rest bool) {
	if rest || len(t.text)+len(text) > t.limit {
		t.opaque = true
	}
	if text == "" {
		return
	}
	t.tokens++
	if !t.opaque {
		t.text = append(t.text, text...)
	}
}

// textOf returns the text of a chunk, and whether it holds more than text.
func textOf(kind request.Kind, fields backend.ChunkFields) (string, bool) {
	if len(fields.Choices) == 0 {
		return "", false
	}
	choice := fields.Choices[0]
	rest := len(fields.Choices) > 1 || choice.Index != 0
	if kind == request.Completion {
		return choice.Text, rest
	}
	var text string
	for name, value := range choice.Delta {
		switch {
		case name == "content" && json.Unmarshal(value, &text) == nil:
		case name == "role", string(value) == "null":
		default:
			rest = true
		}
	}
	return text, rest
}
