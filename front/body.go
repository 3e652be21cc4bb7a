package front

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/cranberrywalk/cranberrywalk/prefix"
)

// defaultMaxTokens is the assumed length of an answer, in tokens, if the request has
// no limit.
const defaultMaxTokens = 256

// modelBody holds the fields of an OpenAI-style request that routing needs. All
// other fields are forwarded unchanged.
type modelBody struct {
	Model     string
	Prompt    []byte
	Stream    bool
	MaxTokens int
}

// chatFields and completionFields mirror the JSON of the OpenAI API.
type chatFields struct {
	Model               *string       `json:"model"`
	Messages            []chatMessage `json:"messages"`
	Stream              bool          `json:"stream"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	N                   *int          `json:"n"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type completionFields struct {
	Model     *string `json:"model"`
	Prompt    *string `json:"prompt"`
	Stream    bool    `json:"stream"`
	MaxTokens *int    `json:"max_tokens"`
	N         *int    `json:"n"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

func parseChat(body []byte) (modelBody, error) {
	var fields chatFields
	if err := decodeJSON(body, &fields); err != nil {
		return modelBody{}, err
	}
	if err := checkCommon(fields.Model, fields.N); err != nil {
		return modelBody{}, err
	}
	if len(fields.Messages) == 0 {
		return modelBody{}, &FieldError{Field: "messages", Reason: "at least one message is required"}
	}
	messages, err := readMessages(fields.Messages)
	if err != nil {
		return modelBody{}, err
	}
	limit := fields.MaxTokens
	if fields.MaxCompletionTokens != nil {
		limit = fields.MaxCompletionTokens
	}
	tokens, err := readMaxTokens(limit)
	return modelBody{
		Model:     *fields.Model,
		Prompt:    prefix.Render(messages),
		Stream:    fields.Stream,
		MaxTokens: tokens,
	}, err
}

func parseCompletion(body []byte) (modelBody, error) {
	var fields completionFields
	if err := decodeJSON(body, &fields); err != nil {
		return modelBody{}, err
	}
	if err := checkCommon(fields.Model, fields.N); err != nil {
		return modelBody{}, err
	}
	if fields.Prompt == nil {
		return modelBody{}, &FieldError{Field: "prompt", Reason: "a text is required"}
	}
	tokens, err := readMaxTokens(fields.MaxTokens)
	return modelBody{
		Model:     *fields.Model,
		Prompt:    []byte(*fields.Prompt),
		Stream:    fields.Stream,
		MaxTokens: tokens,
	}, err
}

func decodeJSON(body []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err := decoder.Decode(into); err != nil {
		return newJSONError(err)
	}
	if decoder.More() {
		return &FieldError{Field: "body", Reason: "one JSON object is expected, more follows it"}
	}
	return nil
}

func checkCommon(model *string, n *int) error {
	if model == nil || *model == "" {
		return &FieldError{Field: "model", Reason: "the name of a model is required"}
	}
	if n != nil && *n != 1 {
		return &FieldError{Field: "n", Reason: "only one answer for each request is supported"}
	}
	return nil
}

func readMaxTokens(limit *int) (int, error) {
	if limit == nil {
		return defaultMaxTokens, nil
	}
	if *limit < 1 {
		return 0, &FieldError{Field: "max_tokens", Reason: "a number above 0 is required"}
	}
	return *limit, nil
}

func readMessages(raw []chatMessage) ([]prefix.Message, error) {
	messages := make([]prefix.Message, 0, len(raw))
	for i, message := range raw {
		text, err := readContent(message.Content)
		if err != nil {
			return nil, &FieldError{Field: indexedField("messages", i, "content"), Reason: err.Error()}
		}
		if message.Role == "" {
			return nil, &FieldError{Field: indexedField("messages", i, "role"), Reason: "a role is required"}
		}
		messages = append(messages, prefix.Message{Role: message.Role, Content: text})
	}
	return messages, nil
}

// readContent returns the text of a message's content, which is a string or a list
// of parts. Parts without text are ignored.
func readContent(raw json.RawMessage) (string, error) {
	if len(raw) == 0 || string(raw) == "null" {
		return "", nil
	}
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var parts []contentPart
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", &ContentError{}
	}
	var joined strings.Builder
	for _, part := range parts {
		joined.WriteString(part.Text)
	}
	return joined.String(), nil
}
