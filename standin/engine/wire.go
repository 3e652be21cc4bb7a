package engine

import "github.com/cranberrywalk/cranberrywalk/prefix"

// The messages use the names of the OpenAI-style API.

// completionRequest is the body of a chat or text completion.
type completionRequest struct {
	Model     string           `json:"model"`
	Messages  []prefix.Message `json:"messages"`
	Prompt    string           `json:"prompt"`
	Stream    bool             `json:"stream"`
	MaxTokens int              `json:"max_tokens"`
	// Priority orders the queue; lower numbers go first.
	Priority int `json:"priority"`
	// ContinueFinalMessage asks for the rest of the last message.
	ContinueFinalMessage bool `json:"continue_final_message"`
}

// completion is a whole answer, or a chunk of a streamed answer.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int          `json:"index"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatMessage `json:"delta,omitempty"`
	Text         *string      `json:"text,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	TotalTokens         int           `json:"total_tokens"`
	PromptTokensDetails promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type errorResponse struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}
