package dispatch

import (
	"encoding/json"

	"github.com/cranberrywalk/cranberrywalk/backend"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// finishLength is the finish reason of an answer that reached its bound.
const finishLength = "length"

// object is a JSON object whose values are kept as they came.
type object map[string]json.RawMessage

func parseObject(payload []byte) object {
	var o object
	if json.Unmarshal(payload, &o) != nil {
		return nil
	}
	return o
}

// set replaces a value.
func (o object) set(name string, value any) {
	encoded, err := json.Marshal(value)
	if err == nil {
		o[name] = encoded
	}
}

// encode returns the object as JSON, or otherwise when that fails.
func (o object) encode(otherwise []byte) []byte {
	encoded, err := json.Marshal(o)
	if err != nil {
		return otherwise
	}
	return encoded
}

// createdOf returns the time in a chunk, or nil.
func createdOf(payload []byte) json.RawMessage { return parseObject(payload)["created"] }

// rewrite makes a chunk of a later attempt look like one of the first.
func (t *transcript) rewrite(chunk backend.Chunk) []byte {
	o := parseObject(chunk.Payload)
	if t.created != nil {
		o["created"] = t.created
	}
	if t.role && len(chunk.Choices) > 0 {
		o["choices"] = withoutRole(o["choices"])
	}
	if chunk.Usage != nil && t.earlier > 0 {
		o.set("usage", t.sum(*chunk.Usage))
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

// sum returns the usage of the request as if one engine had run it. The
// engine that continues counts the earlier tokens as prompt.
func (t *transcript) sum(usage backend.Usage) backend.Usage {
	usage.PromptTokens = max(usage.PromptTokens-t.earlier, 0)
	usage.CompletionTokens += t.earlier
	usage.TotalTokens = usage.PromptTokens + usage.CompletionTokens
	if usage.Details != nil {
		usage.Details = &backend.PromptDetail{CachedTokens: min(usage.Cached(), usage.PromptTokens)}
	}
	return usage
}

// closing returns the chunk that is missing between the last token and the
// end event, or nil.
func (t *transcript) closing() []byte {
	if t.finish != "" {
		return nil
	}
	o := parseObject(t.last)
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
	t.finish = finishLength
	list[0].set("finish_reason", t.finish)
	o.set("choices", list)
	return o.encode(nil)
}

// whole returns the answer in one piece.
func (t *transcript) whole() []byte {
	o := parseObject(t.last)
	if o == nil {
		return nil
	}
	choice := object{"index": json.RawMessage("0"), "logprobs": json.RawMessage("null")}
	if t.request.Kind == request.Completion {
		o.set("object", "text_completion")
		choice.set("text", string(t.text))
	} else {
		o.set("object", "chat.completion")
		choice.set("message", message{Role: "assistant", Content: string(t.text)})
	}
	choice.set("finish_reason", t.finish)
	o.set("choices", []object{choice})
	delete(o, "usage")
	if t.usage != nil {
		o["usage"] = t.usage
	}
	return o.encode(nil)
}
