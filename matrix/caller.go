package matrix

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/backend"
	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/dispatch"
	"github.com/cranberrywalk/cranberrywalk/prefix"
	"github.com/cranberrywalk/cranberrywalk/request"
)

// deadline is far behind all waits that a case causes, except when the case
// lets it pass.
const deadline = time.Hour

// requestKind is a kind of request.
type requestKind string

// The kinds of requests that pass through the steps.
const (
	// kindStreamedChat is a streamed chat, which is idempotent.
	kindStreamedChat requestKind = "streamed chat"
	// kindNonStreamingChat is an idempotent chat whose answer comes in one piece.
	kindNonStreamingChat requestKind = "chat in one piece"
	// kindNonIdempotentChat is a streamed chat with a key that is not idempotent.
	kindNonIdempotentChat requestKind = "chat that runs once"
	// kindRead is an idempotent call of a plain service.
	kindRead requestKind = "read"
	// kindKeyedCall is a keyed call that is not idempotent.
	kindKeyedCall requestKind = "keyed confirmation"
	// kindUnkeyedCall is a call without a key that is not idempotent.
	kindUnkeyedCall requestKind = "charge without key"
)

func requestKinds() []requestKind {
	return []requestKind{kindStreamedChat, kindNonStreamingChat, kindNonIdempotentChat, kindRead, kindKeyedCall, kindUnkeyedCall}
}

// isChat reports whether the request goes to a model engine.
func (s requestKind) isChat() bool { return s == kindStreamedChat || s == kindNonStreamingChat || s == kindNonIdempotentChat }

// isKeyed reports whether the request needs a claim.
func (s requestKind) isKeyed() bool { return s == kindKeyedCall || s == kindNonIdempotentChat }

// isIdempotent reports whether the request may run more than once.
func (s requestKind) isIdempotent() bool {
	return s == kindStreamedChat || s == kindNonStreamingChat || s == kindRead
}

// prompt is the chat that all streamed chats ask for.
var prompt = []prefix.Message{{Role: "user", Content: "Which drill fits a brick wall?"}}

// newRequest returns the request of a sending. All sendings of a case have
// the same content.
func (s requestKind) newRequest(id string, now time.Time) request.Request {
	r := request.Request{
		ID: id, Customer: "Trust", Method: http.MethodPost, Accepted: now, Deadline: now.Add(deadline),
		Kind: request.Service, Service: "placement", Path: "/confirm", Body: []byte(`{"Teacher":7}`),
		Idempotent: s.isIdempotent(),
	}
	if s.isChat() {
		r.Kind, r.Service, r.Model, r.Path = request.Chat, "", "teach", "/v1/chat/completions"
		r.Stream, r.MaxTokens = s != kindNonStreamingChat, answerTokens
		r.Body = fmt.Appendf(nil, `{"model":"teach","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
			r.Stream, answerTokens, prompt[0].Content)
	}
	if s.isKeyed() {
		r.Key = claim.NewKey(r.Customer, r.Target(), "dawn")
		r.Header = request.Header{"Idempotency-Key": {"dawn"}}
	}
	return r
}

// caller writes what a daemon passes on into the record.
type caller struct {
	cluster   *Cluster
	node    *node
	call *ClientCall
	mu      sync.Mutex
	body    strings.Builder
}

// Head implements dispatch.Writer.
func (c *caller) Head(int, http.Header) error {
	c.cluster.record.update(func() { c.call.HeadCount++ })
	return nil
}

// Chunk implements dispatch.Writer.
func (c *caller) Chunk(piece []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.body.Write(piece)
	return nil
}

// Finish implements dispatch.Finisher. A dead daemon tells nothing.
func (c *caller) Finish(result dispatch.Result) {
	c.mu.Lock()
	body := c.body.String()
	c.mu.Unlock()
	record := c.cluster.record
	record.update(func() {
		if c.call.Lost {
			return
		}
		c.call.OutcomeCount++
		c.call.Result, c.call.Body = result, body
		c.call.Ended, c.call.Sequence = c.cluster.Clock.Now(), record.nextSequence()
	})
}

// send sends a request to a daemon and waits until it is over. A request that
// a dead daemon has gets no outcome.
func (w *Cluster) send(n *node, r request.Request) *ClientCall {
	sending := &ClientCall{Daemon: n.name, Request: r, Lost: n.isDead()}
	w.record.update(func() { w.record.Calls = append(w.record.Calls, sending) })
	if sending.Lost {
		sending.Returned = true
		return sending
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.dispatcher.Do(ctx, r, &caller{cluster: w, node: n, call: sending})
	}()
	timer := time.NewTimer(caseBound)
	defer timer.Stop()
	select {
	case <-done:
		w.record.update(func() { sending.Returned = true })
	case <-timer.C:
		w.record.update(func() { w.record.Hung = append(w.record.Hung, r.ID+" at "+n.name) })
	}
	return sending
}

// textOf returns the text of a model's answer, and whether it is whole.
func textOf(r request.Request, body string) (text string, whole bool) {
	if r.Stream {
		return streamedText(body)
	}
	var fields struct {
		Choices []struct{ Message prefix.Message }
	}
	err := json.Unmarshal([]byte(body), &fields)
	if err != nil || len(fields.Choices) != 1 {
		return body, false
	}
	return fields.Choices[0].Message.Content, true
}

// streamedText joins the events of a stream. It is whole with its end event.
func streamedText(body string) (text string, whole bool) {
	var joined strings.Builder
	for event := range strings.SplitSeq(body, "\n\n") {
		payload := strings.TrimPrefix(event, "data: ")
		if payload == "[DONE]" {
			return joined.String(), true
		}
		var fields backend.ChunkFields
		if json.Unmarshal([]byte(payload), &fields) != nil || len(fields.Choices) == 0 {
			continue
		}
		var content string
		if json.Unmarshal(fields.Choices[0].Delta["content"], &content) == nil {
			joined.WriteString(content)
		}
	}
	return joined.String(), false
}
