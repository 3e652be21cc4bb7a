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

// shape is a kind of request.
type shape string

// The kinds of requests that pass through the steps.
const (
	// shapeChat is a streamed chat, which is idempotent.
	shapeChat shape = "streamed chat"
	// shapeWholeChat is an idempotent chat whose answer comes in one piece.
	shapeWholeChat shape = "chat in one piece"
	// shapeChatOnce is a streamed chat with a key that is not idempotent.
	shapeChatOnce shape = "chat that runs once"
	// shapeRead is an idempotent call of a plain service.
	shapeRead shape = "read"
	// shapeConfirm is a keyed call that is not idempotent.
	shapeConfirm shape = "keyed confirmation"
	// shapeCharge is a call without a key that is not idempotent.
	shapeCharge shape = "charge without key"
)

func shapes() []shape {
	return []shape{shapeChat, shapeWholeChat, shapeChatOnce, shapeRead, shapeConfirm, shapeCharge}
}

// isChat reports whether the request goes to a model engine.
func (s shape) isChat() bool { return s == shapeChat || s == shapeWholeChat || s == shapeChatOnce }

// isKeyed reports whether the request needs a claim.
func (s shape) isKeyed() bool { return s == shapeConfirm || s == shapeChatOnce }

// isIdempotent reports whether the request may run more than once.
func (s shape) isIdempotent() bool {
	return s == shapeChat || s == shapeWholeChat || s == shapeRead
}

// prompt is the chat that all streamed chats ask for.
var prompt = []prefix.Message{{Role: "user", Content: "Which drill fits a brick wall?"}}

// newRequest returns the request of a sending. All sendings of a case have
// the same content.
func (s shape) newRequest(id string, now time.Time) request.Request {
	r := request.Request{
		ID: id, Customer: "Trust", Method: http.MethodPost, Accepted: now, Deadline: now.Add(deadline),
		Kind: request.Service, Service: "placement", Path: "/confirm", Body: []byte(`{"Teacher":7}`),
		Idempotent: s.isIdempotent(),
	}
	if s.isChat() {
		r.Kind, r.Service, r.Model, r.Path = request.Chat, "", "teach", "/v1/chat/completions"
		r.Stream, r.MaxTokens = s != shapeWholeChat, answerTokens
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
	world   *World
	node    *node
	sending *Sending
	mu      sync.Mutex
	body    strings.Builder
}

// Head implements dispatch.Writer.
func (c *caller) Head(int, http.Header) error {
	c.world.record.with(func() { c.sending.Heads++ })
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
	record := c.world.record
	record.with(func() {
		if c.sending.Lost {
			return
		}
		c.sending.Ends++
		c.sending.Result, c.sending.Body = result, body
		c.sending.Ended, c.sending.Sequence = c.world.Clock.Now(), record.next()
	})
}

// send sends a request to a daemon and waits until it is over. A request that
// a dead daemon has gets no outcome.
func (w *World) send(n *node, r request.Request) *Sending {
	sending := &Sending{Daemon: n.name, Request: r, Lost: n.isDead()}
	w.record.with(func() { w.record.Sendings = append(w.record.Sendings, sending) })
	if sending.Lost {
		sending.Settled = true
		return sending
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.dispatcher.Do(ctx, r, &caller{world: w, node: n, sending: sending})
	}()
	timer := time.NewTimer(caseBound)
	defer timer.Stop()
	select {
	case <-done:
		w.record.with(func() { sending.Settled = true })
	case <-timer.C:
		w.record.with(func() { w.record.Unsettled = append(w.record.Unsettled, r.ID+" at "+n.name) })
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
