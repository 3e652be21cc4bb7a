package dispatch

import (
	"encoding/json"

	"github.com/cranberrywalk/cranberrywalk/request"
)

// nonContinuableFields are the fields of a model call that rule out a
// continuation: their effect on the rest of a response depends on state that a
// continuation does not carry.
var nonContinuableFields = []string{
	"tools", "functions", "logprobs", "top_logprobs", "response_format",
	"continue_final_message", "echo", "suffix", "best_of",
}

// modelBody is the body of a model call.
type modelBody struct {
	request request.Request
	// fields is nil when the body is not a JSON object.
	fields object
}

// message is one message of a chat.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// streamOptions asks the engine to report the usage in the last chunk.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

func parseBody(r request.Request) modelBody {
	return modelBody{request: r, fields: parseObject(r.Body)}
}

// continuable reports whether an engine can continue a partial response to the
// call.
func (b modelBody) continuable() bool {
	if b.fields == nil || !b.request.Idempotent {
		return false
	}
	for _, name := range nonContinuableFields {
		if value, found := b.fields[name]; found && string(value) != "null" && string(value) != "false" {
			return false
		}
	}
	var choices int
	if value, found := b.fields["n"]; found && (json.Unmarshal(value, &choices) != nil || choices != 1) {
		return false
	}
	if b.request.Kind == request.Completion {
		var prompt string
		return json.Unmarshal(b.fields["prompt"], &prompt) == nil
	}
	var messages []json.RawMessage
	return json.Unmarshal(b.fields["messages"], &messages) == nil
}

// choices returns the number of choices that the call asks for: n for each prompt.
func (b modelBody) choices() int {
	var n int
	if json.Unmarshal(b.fields["n"], &n) != nil || n < 1 {
		n = 1
	}
	return n * b.prompts()
}

// prompts returns the number of prompts. A list of numbers is one prompt of tokens.
func (b modelBody) prompts() int {
	var list []json.RawMessage
	if b.request.Kind != request.Completion || json.Unmarshal(b.fields["prompt"], &list) != nil || len(list) == 0 {
		return 1
	}
	var token int
	if json.Unmarshal(list[0], &token) == nil {
		return 1
	}
	return len(list)
}

// limitFields are the fields that limit the tokens of a response, by the kind of request.
var limitFields = map[request.Kind][]string{
	request.Chat:       {"max_tokens", "max_completion_tokens"},
	request.Completion: {"max_tokens"},
}

// limitsTokens reports whether the call has a limit of tokens, which the engine knows.
func (b modelBody) limitsTokens() bool {
	for _, name := range limitFields[b.request.Kind] {
		if value, found := b.fields[name]; found && string(value) != "null" {
			return true
		}
	}
	return false
}

// initialBody returns the body of an attempt that generates the response from the
// start. If collect is true, it requests a stream although the caller did not.
func (b modelBody) initialBody(collect bool) []byte {
	if b.fields == nil {
		return b.request.Body
	}
	return b.engineFields(collect).encode(b.request.Body)
}

// addsUsage reports whether the dispatcher requests the usage of a stream because
// the caller does not set stream_options.
func (b modelBody) addsUsage() bool {
	_, asked := b.fields["stream_options"]
	return !asked
}

// engineFields returns the fields that the engine gets, including the priority.
// Engines serve lower numbers first, so the sign is reversed.
func (b modelBody) engineFields(collect bool) object {
	fields := make(object, len(b.fields)+6)
	for name, value := range b.fields {
		fields[name] = value
	}
	fields.set("priority", -b.request.Priority)
	if collect {
		fields.set("stream", true)
	}
	if (collect || b.request.Stream) && b.addsUsage() {
		fields.set("stream_options", streamOptions{IncludeUsage: true})
	}
	return fields
}

// continuation returns the body that asks an engine to continue after text with
// at most maxTokens more tokens. A negative maxTokens leaves the caller's limit
// unchanged.
func (b modelBody) continuation(text string, maxTokens int, collect bool) []byte {
	fields := b.engineFields(collect)
	if b.request.Kind == request.Completion {
		var prompt string
		_ = json.Unmarshal(fields["prompt"], &prompt)
		fields.set("prompt", prompt+text)
	} else {
		var messages []json.RawMessage
		_ = json.Unmarshal(fields["messages"], &messages)
		last, _ := json.Marshal(message{Role: "assistant", Content: text})
		fields.set("messages", append(messages, last))
		fields.set("continue_final_message", true)
		fields.set("add_generation_prompt", false)
	}
	for _, name := range limitFields[b.request.Kind] {
		if _, found := fields[name]; found && maxTokens >= 0 {
			fields.set(name, maxTokens)
		}
	}
	return fields.encode(b.request.Body)
}
