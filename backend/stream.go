package backend

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"mime"
)

// streamBuffer is the size of a stream's read buffer, in bytes.
const streamBuffer = 4096

// done is the payload of the last event of a stream.
var done = []byte("[DONE]")

// Chunk is one event of a streamed model answer.
type Chunk struct {
	// Payload is the event's data without the SSE framing.
	Payload []byte
	// Last is true for the end event, which has no ChunkFields.
	Last bool
	ChunkFields
}

// ChunkFields are the fields of an OpenAI-style chunk that this system uses.
type ChunkFields struct {
	ID      string   `json:"id"`
	Created int64    `json:"created"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage"`
}

// Choice is one of the alternatives in a chunk.
type Choice struct {
	Index        int                        `json:"index"`
	Delta        map[string]json.RawMessage `json:"delta"`
	Text         string                     `json:"text"`
	FinishReason *string                    `json:"finish_reason"`
}

// Usage counts the tokens of an answer.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          *PromptDetail `json:"prompt_tokens_details,omitempty"`
}

// PromptDetail breaks down the prompt tokens. Cached tokens were not recomputed.
type PromptDetail struct {
	CachedTokens int `json:"cached_tokens"`
}

// Cached returns the number of cached prompt tokens.
func (u Usage) Cached() int {
	if u.Details == nil {
		return 0
	}
	return u.Details.CachedTokens
}

// ParseUsage returns the usage in a model answer that is not streamed, or nil.
func ParseUsage(body []byte) *Usage {
	var fields ChunkFields
	if json.Unmarshal(body, &fields) != nil {
		return nil
	}
	return fields.Usage
}

// IsStream reports whether the answer is a stream of server-sent events.
func (a *Answer) IsStream() bool {
	kind, _, err := mime.ParseMediaType(a.answer.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// Next returns the next complete event. After the Last one the exchange has ended.
// Every error is a *FaultError.
func (a *Answer) Next() (Chunk, error) {
	if first := a.first; first != nil {
		a.first = nil
		return *first, nil
	}
	if a.reader == nil {
		body := io.LimitReader(a.answer, int64(a.client.options.MaxAnswerBytes)+1)
		a.reader = bufio.NewReaderSize(body, streamBuffer)
	}
	a.silence.start()
	payload, err := a.nextPayload()
	if err != nil {
		var length *LengthError
		if errors.As(err, &length) {
			return Chunk{}, a.fail(TooLarge, err)
		}
		return Chunk{}, a.fail(Truncated, err)
	}
	if bytes.Equal(payload, done) {
		a.drain(a.reader, 0)
		return Chunk{Payload: payload, Last: true}, nil
	}
	chunk := Chunk{Payload: payload}
	if err := json.Unmarshal(payload, &chunk.ChunkFields); err != nil {
		return Chunk{}, a.fail(Malformed, err)
	}
	if want := ChunkIDPrefix + a.call.ID; chunk.ID != want {
		return Chunk{}, a.fail(Foreign, &RequestIDMismatchError{Want: want, Got: chunk.ID})
	}
	return chunk, nil
}

// PauseSilenceTimer stops the silence timer until the next call of Next, for the
// time in which the caller waits for something other than the backend server.
func (a *Answer) PauseSilenceTimer() { a.silence.stop() }

// nextPayload reads up to the blank line that ends an event with data.
func (a *Answer) nextPayload() ([]byte, error) {
	var payload []byte
	var found bool
	for {
		line, err := a.readLine()
		if err != nil {
			return nil, err
		}
		if len(payload)+len(line) > a.client.options.MaxEventBytes {
			return nil, &LengthError{Bytes: a.client.options.MaxEventBytes}
		}
		if len(line) == 0 && found {
			return payload, nil
		}
		if data, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			if found {
				payload = append(payload, '\n')
			}
			payload = append(payload, bytes.TrimPrefix(data, []byte(" "))...)
			found = true
		}
	}
}

// readLine reads a line of a stream and returns it without its end. The lengths of the
// line and of the whole stream are bounded.
func (a *Answer) readLine() ([]byte, error) {
	var line []byte
	for {
		part, err := a.reader.ReadSlice('\n')
		a.bytes += len(part)
		if a.bytes > a.client.options.MaxAnswerBytes {
			return nil, &LengthError{Bytes: a.client.options.MaxAnswerBytes}
		}
		line = append(line, part...)
		if len(line) > a.client.options.MaxEventBytes {
			return nil, &LengthError{Bytes: a.client.options.MaxEventBytes}
		}
		switch {
		case err == nil:
			return bytes.TrimRight(line, "\r\n"), nil
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		}
	}
}
