package fleet

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cranberrywalk/cranberrywalk/hosting"
)

// callTimeout bounds one request of a caller, including its answer.
const callTimeout = 60 * time.Second

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the body of a chat request.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
}

// chatChunk is the part of a chunk or of a complete chat answer that callers read.
type chatChunk struct {
	Choices []struct {
		Delta   Message `json:"delta"`
		Message Message `json:"message"`
	} `json:"choices"`
}

// Answer is the answer that a caller got.
type Answer struct {
	Status     int
	Outcome    string
	RequestID  string
	RetryAfter string
	// Text is the body, or the text of a chat answer.
	Text string
	// Events counts the events of a stream.
	Events int
	// StreamError is the error object of a stream that broke off.
	StreamError string
	// Complete is true when a stream has reached its end event, or when a body of
	// another kind was read to its end.
	Complete bool
	// FirstToken is the time from sending the request to the first event with
	// text.
	FirstToken time.Duration
}

// Caller sends requests to one daemon.
type Caller struct {
	address string
	key     string
	client  *http.Client
	// OnEvent is called with the number of each event of a stream; it may
	// be nil.
	OnEvent func(number int)
}

// NewCaller returns a caller that authenticates with the API key of a customer.
func NewCaller(daemon hosting.VM, key string) *Caller {
	return &Caller{address: daemon.Address, key: key, client: &http.Client{Timeout: callTimeout}}
}

// Chat sends a chat request and reads the answer to its end.
func (c *Caller) Chat(body ChatRequest) (Answer, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return Answer{}, &OperationError{Name: "chat request", Cause: err}
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+c.address+"/v1/chat/completions", bytes.NewReader(encoded))
	if err != nil {
		return Answer{}, &OperationError{Name: "chat request", Cause: err}
	}
	if body.Stream {
		return c.send(request, c.readStream)
	}
	return c.send(request, readChat)
}

// PostService sends a POST to a plain service. An empty key sends no Idempotency-Key.
func (c *Caller) PostService(service, path, key, body string) (Answer, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+c.address+"/services/"+service+path, strings.NewReader(body))
	if err != nil {
		return Answer{}, &OperationError{Name: "service request", Cause: err}
	}
	if key != "" {
		request.Header.Set("Idempotency-Key", `"`+key+`"`)
	}
	return c.send(request, readText)
}

type bodyReader func(body io.Reader, answer *Answer, sentAt time.Time) error

func (c *Caller) send(request *http.Request, read bodyReader) (Answer, error) {
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Content-Type", "application/json")
	sentAt := time.Now()
	response, err := c.client.Do(request)
	if err != nil {
		return Answer{}, &OperationError{Name: "request", Cause: err}
	}
	defer response.Body.Close()
	answer := Answer{
		Status:     response.StatusCode,
		Outcome:    response.Header.Get("Cranberrywalk-Outcome"),
		RequestID:  response.Header.Get("Cranberrywalk-Request-Id"),
		RetryAfter: response.Header.Get("Retry-After"),
	}
	if response.StatusCode != http.StatusOK {
		read = readText
	}
	if err := read(response.Body, &answer, sentAt); err != nil {
		return answer, &OperationError{Name: "reading the answer", Cause: err}
	}
	if outcome := response.Trailer.Get("Cranberrywalk-Outcome"); outcome != "" {
		answer.Outcome = outcome
	}
	return answer, nil
}

func readText(body io.Reader, answer *Answer, _ time.Time) error {
	content, err := io.ReadAll(body)
	answer.Text = string(content)
	answer.Complete = err == nil
	return err
}

func readChat(body io.Reader, answer *Answer, _ time.Time) error {
	var chunk chatChunk
	if err := json.NewDecoder(body).Decode(&chunk); err != nil {
		return err
	}
	if len(chunk.Choices) > 0 {
		answer.Text = chunk.Choices[0].Message.Content
	}
	answer.Complete = true
	return nil
}

func (c *Caller) readStream(body io.Reader, answer *Answer, sentAt time.Time) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		if !isData {
			continue
		}
		answer.Events++
		if data == "[DONE]" {
			answer.Complete = true
			continue
		}
		answer.addChunk(data, sentAt)
		if c.OnEvent != nil {
			c.OnEvent(answer.Events)
		}
	}
	return lines.Err()
}

func (a *Answer) addChunk(data string, sentAt time.Time) {
	var chunk chatChunk
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
		a.StreamError = data
		return
	}
	text := chunk.Choices[0].Delta.Content
	if text != "" && a.FirstToken == 0 {
		a.FirstToken = time.Since(sentAt)
	}
	a.Text += text
}
