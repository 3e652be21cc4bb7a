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

// deadline is longer than every wait in a case, so that a request only reaches
// it when the case advances the clock past it.
const deadline = time.Hour

// requestKind is a kind of request.
type requestKind string

// The kinds of requests that each fault is run with.
const (
	// kindStreamedChat is an idempotent streamed chat.
	kindStreamedChat requestKind = "streamed chat"
	// kindNonStreamingChat is an idempotent chat with a non-streaming answer.
	kindNonStreamingChat requestKind = "non-streaming chat"
	// kindNonIdempotentChat is a keyed streamed chat that is not idempotent.
	kindNonIdempotentChat requestKind = "keyed non-idempotent chat"
	// kindRead is an idempotent call of a plain service.
	kindRead requestKind = "read"
	// kindKeyedCall is a keyed non-idempotent call of a plain service.
	kindKeyedCall requestKind = "keyed service call"
	// kindUnkeyedCall is a non-idempotent call of a plain service without a key.
	kindUnkeyedCall requestKind = "service call without key"
)

func requestKinds() []requestKind {
	return []requestKind{kindStreamedChat, kindNonStreamingChat, kindNonIdempotentChat, kindRead, kindKeyedCall, kindUnkeyedCall}
}

// isChat reports whether the request goes to a model engine.
func (k requestKind) isChat() bool {
	return k == kindStreamedChat || k == kindNonStreamingChat || k == kindNonIdempotentChat
}

// isKeyed reports whether the request needs a claim.
func (k requestKind) isKeyed() bool { return k == kindKeyedCall || k == kindNonIdempotentChat }

// isIdempotent reports whether the request may run more than once.
func (k requestKind) isIdempotent() bool {
	return k == kindStreamedChat || k == kindNonStreamingChat || k == kindRead
}

// prompt is the content of every chat.
var prompt = []prefix.Message{{Role: "user", Content: "Which drill fits a brick wall?"}}

// newRequest returns a request of this kind. All requests of one kind have the
// same content, so that a resent request matches the first one.
func (k requestKind) newRequest(id string, now time.Time) request.Request {
	r := request.Request{
		ID: id, Customer: "Trust", Method: http.MethodPost, Accepted: now, Deadline: now.Add(deadline),
		Kind: request.Service, Service: "placement", Path: "/confirm", Body: []byte(`{"Teacher":7}`),
		Idempotent: k.isIdempotent(),
	}
	if k.isChat() {
		r.Kind, r.Service, r.Model, r.Path = request.Chat, "", "teach", "/v1/chat/completions"
		r.Stream, r.MaxTokens = k != kindNonStreamingChat, answerTokens
		r.Body = fmt.Appendf(nil, `{"model":"teach","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
			r.Stream, answerTokens, prompt[0].Content)
	}
	if k.isKeyed() {
		r.Key = claim.NewKey(r.Customer, r.Target(), "dawn")
		r.Header = request.Header{"Idempotency-Key": {"dawn"}}
	}
	return r
}

// caller is the response writer of one call. It stores the response in the
// record of the case.
type caller struct {
	cluster *Cluster
	node    *node
	call    *ClientCall
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

// Finish implements dispatch.Finisher. An outcome from a killed daemon is dropped.
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

// send sends a request to a daemon and waits until the dispatcher returns. A
// request to a dead daemon gets no outcome.
func (c *Cluster) send(n *node, r request.Request) *ClientCall {
	call := &ClientCall{Daemon: n.name, Request: r, Lost: n.isDead()}
	c.record.update(func() { c.record.Calls = append(c.record.Calls, call) })
	if call.Lost {
		call.Returned = true
		return call
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.dispatcher.Do(ctx, r, &caller{cluster: c, node: n, call: call})
	}()
	timer := time.NewTimer(caseBound)
	defer timer.Stop()
	select {
	case <-done:
		c.record.update(func() { call.Returned = true })
	case <-timer.C:
		c.record.update(func() { c.record.Hung = append(c.record.Hung, r.ID+" at "+n.name) })
	}
	return call
}

// textOf returns the text of a model's answer, and whether it is complete.
func textOf(r request.Request, body string) (text string, complete bool) {
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

// streamedText joins the text of the events of a stream. The stream is complete
// when it ends with the event [DONE].
func streamedText(body string) (text string, complete bool) {
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
