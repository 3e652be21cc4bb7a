package dispatch

import (
	"encoding/json"

	"github.com/cranberrywalk/cranberrywalk/backend"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// finishReasonLength is the finish reason of a response that reached its token
// limit.
const finishReasonLength = "length"

// object is a JSON object whose values are kept in their original encoding.
type object map[string]json.RawMessage

func parseObject(payload []byte) object {
	var o object
	if json.Unmarshal(payload, &o) != nil {
		return nil
	}
	return o
}

// set replaces the value of a field.
func (o object) set(name string, value any) {
	encoded, err := json.Marshal(value)
	if err == nil {
		o[name] = encoded
	}
}

// encode returns the object as JSON, or fallback if the encoding fails.
func (o object) encode(fallback []byte) []byte {
	encoded, err := json.Marshal(o)
	if err != nil {
		return fallback
	}
	return encoded
}

// createdOf returns the creation time in a chunk, or nil.
func createdOf(payload []byte) json.RawMessage { return parseObject(payload)["created"] }

// rewrite makes a chunk of a later attempt consistent with those of the first
// attempt.
func (s *streamState) rewrite(chunk backend.Chunk) []byte {
	o := parseObject(chunk.Payload)
	if s.created != nil {
		o["created"] = s.created
	}
	if s.roleSent && len(chunk.Choices) > 0 {
		o["choices"] = withoutRole(o["choices"])
	}
	if chunk.Usage != nil && s.priorTokens > 0 {
		o.set("usage", s.totalUsage(*chunk.Usage))
	}
	return o.encode(chunk.Payload)
}

// withoutRole removes the role from the first choice.
func withoutRole(choices json.RawMessage) json.RawMessage {
	var list []object
	if json.Unmarshal(choices, &list) != nil || len(list) == 0 {
		return choices
	}
	delta := parseObject(list[0]["delta"])
	if _, found := delta["role"]; !found {
		return choices
	}
	delete(delta, "role")
	list[0].set("delta", delta)
	encoded, err := json.Marshal(list)
	if err != nil {
		return choices
	}
	return encoded
}

// totalUsage returns the usage of the request as if one engine had run it. An
// engine that continues a response counts the prior tokens as prompt tokens.
func (s *streamState) totalUsage(usage backend.Usage) backend.Usage {
	usage.PromptTokens = max(usage.PromptTokens-s.priorTokens, 0)
	usage.CompletionTokens += s.priorTokens
	usage.TotalTokens = usage.PromptTokens + usage.CompletionTokens
	if usage.Details != nil {
		usage.Details = &backend.PromptDetail{CachedTokens: min(usage.Cached(), usage.PromptTokens)}
	}
	return usage
}

// finalChunk returns the chunk with the finish reason that is missing between the
// last token and the [DONE] event, or nil.
func (s *streamState) finalChunk() []byte {
	if s.finishReason != "" {
		return nil
	}
	o := parseObject(s.lastChunk)
	var list []object
	if json.Unmarshal(o["choices"], &list) != nil || len(list) == 0 {
		return nil
	}
	delete(o, "usage")
	if _, found := list[0]["delta"]; found {
		list[0].set("delta", object{})
	} else {
		list[0].set("text", "")
	}
	s.finishReason = finishReasonLength
	list[0].set("finish_reason", s.finishReason)
	o.set("choices", list)
	return o.encode(nil)
}

// collectedResponse returns the non-streaming response assembled from the stream.
func (s *streamState) collectedResponse() []byte {
	o := parseObject(s.lastChunk)
	if o == nil {
		return nil
	}
	choice := object{"index": json.RawMessage("0"), "logprobs": json.RawMessage("null")}
	if s.request.Kind == request.Completion {
		o.set("object", "text_completion")
		choice.set("text", string(s.text))
	} else {
		o.set("object", "chat.completion")
		choice.set("message", message{Role: "assistant", Content: string(s.text)})
	}
	choice.set("finish_reason", s.finishReason)
	o.set("choices", []object{choice})
	delete(o, "usage")
	if s.usage != nil {
		o["usage"] = s.usage
	}
	return o.encode(nil)
}
