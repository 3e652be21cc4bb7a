package matrix

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/cranberrywalk/cranberrywalk/backend"
	"github.com/cranberrywalk/cranberrywalk/dispatch"
	"github.com/cranberrywalk/cranberrywalk/prefix"
	"github.com/cranberrywalk/cranberrywalk/standin/engine"
	"github.com/cranberrywalk/cranberrywalk/standin/loopback"
)

const (
	// answerTokens is the number of tokens of every model answer.
	answerTokens = 6
	// halfTokens is the number of tokens before StepStream.
	halfTokens = 3
	// refusingAddress replaces the address of a stopped VM, whose own port may
	// have been assigned to another process. Port 1 is outside the ephemeral range.
	refusingAddress = "127.0.0.1:1"
	// harmlessPath is the path of requests that never crash a backend server.
	harmlessPath = "/rosters"
)

// runner is a backend server on loopback. It answers chats with the text of the
// engine stand-in, and other requests with a description of the run.
type runner struct {
	cluster *Cluster
	name    string
	zone    string
	address string
	server  *http.Server
	// done is closed when the server has returned.
	done chan struct{}
	// stopped is closed when the VM stops.
	stopped chan struct{}

	mu sync.Mutex
	// dead never goes back to false.
	dead bool
	// crashStep is the step at which every request crashes the server, except those
	// with harmlessPath; empty for no crashes.
	crashStep Step
	// isRejecting is true while the server rejects requests.
	isRejecting bool
	// runs counts the runs of requests.
	runs int
}

func newRunner(c *Cluster, name, zone string) (*runner, error) {
	listener, err := loopback.Listen()
	if err != nil {
		return nil, err
	}
	r := &runner{
		cluster: c, name: name, zone: zone, address: listener.Addr().String(),
		done: make(chan struct{}), stopped: make(chan struct{}),
	}
	r.server = &http.Server{Handler: r} //nolint:gosec // Only the case itself connects.
	go func() {
		defer close(r.done)
		// Serve returns an error once the case has closed the server.
		_ = r.server.Serve(listener)
	}()
	return r, nil
}

func (r *runner) target() dispatch.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	target := dispatch.Target{Name: r.name, Zone: r.zone, Address: r.address}
	if r.dead {
		target.Address = refusingAddress
	}
	return target
}

// stop stops the VM and closes all its connections.
func (r *runner) stop() {
	r.mu.Lock()
	if !r.dead {
		r.dead = true
		close(r.stopped)
	}
	r.mu.Unlock()
	_ = r.server.Close()
	<-r.done
}

// setCrashStep makes requests crash the backend server at a step.
func (r *runner) setCrashStep(step Step) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashStep = step
}

func (r *runner) crashesAt(step Step) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashStep == step
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, call *http.Request) {
	body, err := io.ReadAll(call.Body)
	if err != nil || !r.cluster.owns(call.Header.Get(backend.RequestIDHeader)) {
		panic(http.ErrAbortHandler)
	}
	a := &reply{runner: r, w: w, call: call, id: call.Header.Get(backend.RequestIDHeader)}
	if r.rejects() {
		a.reject()
	}
	a.run = r.recordRun(call, body)
	a.runHook(StepDispatch)
	if strings.HasPrefix(call.URL.Path, "/v1/") {
		a.answerChat(body)
		return
	}
	a.answerCall()
}

func (r *runner) setRejecting(isRejecting bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isRejecting = isRejecting
}

func (r *runner) rejects() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isRejecting
}

// recordRun records the run of a request.
func (r *runner) recordRun(call *http.Request, body []byte) Run {
	r.mu.Lock()
	r.runs++
	number := r.runs
	r.mu.Unlock()
	run := Run{
		Runner: r.name, Request: call.Header.Get(backend.RequestIDHeader),
		Key: call.Header.Get("Idempotency-Key"), Body: string(body),
	}
	run.Answer = fmt.Sprintf(`{"Run":"%s/%d","Request":%q}`, r.name, number, run.Request)
	return r.cluster.record.addRun(run, r.cluster.Clock.Now())
}

// reply writes one answer.
type reply struct {
	runner *runner
	w      http.ResponseWriter
	call   *http.Request
	id     string
	run    Run
	// foreign is true if the reply is the answer to another request.
	foreign bool
}

// runHook runs the hook of the step, and then crashes if the step is crashStep.
func (a *reply) runHook(step Step) {
	switch a.runner.cluster.runHook(step) {
	case abort:
		panic(http.ErrAbortHandler)
	case hang:
		a.hang()
	case cross:
		a.id, a.foreign = "another", true
		a.run.Answer = strings.ToUpper(a.run.Answer)
	}
	if a.runner.crashesAt(step) && a.call.URL.Path != harmlessPath {
		a.runner.cluster.record.addCrash(a.run)
		panic(http.ErrAbortHandler)
	}
}

// reject rejects the request with a body that stalls.
func (a *reply) reject() {
	a.w.Header().Set(backend.RequestIDHeader, a.id)
	a.w.Header().Set("Content-Length", "1")
	a.w.WriteHeader(http.StatusServiceUnavailable)
	a.flush()
	a.hang()
}

// hang sends no further byte until the daemon closes the connection or the VM stops.
func (a *reply) hang() {
	select {
	case <-a.call.Context().Done():
	case <-a.runner.stopped:
	}
	panic(http.ErrAbortHandler)
}

func (a *reply) flush() { _ = http.NewResponseController(a.w).Flush() }

// answerChat streams tokens from the position at which the continuation starts.
func (a *reply) answerChat(body []byte) {
	prompt, position := parseChat(body)
	a.w.Header().Set(backend.RequestIDHeader, a.id)
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.flush()
	a.runHook(StepFirstToken)
	for i := position; i < answerTokens; i++ {
		if i == max(position, halfTokens) {
			a.runHook(StepStream)
			a.runHook(StepDrain)
		}
		if a.foreign {
			prompt = []byte("another prompt")
		}
		a.writeEvent(fmt.Sprintf(`"delta":{"content":%q}`, engine.AnswerText(prompt, i, 1)), "")
	}
	a.runHook(StepAnswer)
	usage := fmt.Sprintf(`,"usage":{"prompt_tokens":%d,"completion_tokens":%d}`, 10+position, answerTokens-position)
	a.writeEvent(`"delta":{},"finish_reason":"stop"`, usage)
	_, _ = io.WriteString(a.w, "data: [DONE]\n\n")
}

func (a *reply) writeEvent(choice, rest string) {
	_, _ = fmt.Fprintf(a.w, "data: {\"id\":\"%s%s\",\"created\":1,\"choices\":[{\"index\":0,%s}]%s}\n\n",
		backend.ChunkIDPrefix, a.id, choice, rest)
	a.flush()
}

// answerCall writes the description of the run: two halves, with the last byte sent
// separately.
func (a *reply) answerCall() {
	a.w.Header().Set(backend.RequestIDHeader, a.id)
	a.w.Header().Set("Content-Length", fmt.Sprint(len(a.run.Answer)))
	a.flush()
	a.runHook(StepFirstToken)
	half := len(a.run.Answer) / 2
	_, _ = io.WriteString(a.w, a.run.Answer[:half])
	a.flush()
	a.runHook(StepStream)
	a.runHook(StepDrain)
	_, _ = io.WriteString(a.w, a.run.Answer[half:len(a.run.Answer)-1])
	a.flush()
	a.runHook(StepAnswer)
	_, _ = io.WriteString(a.w, a.run.Answer[len(a.run.Answer)-1:])
}

// parseChat returns the original prompt of a chat, and the number of tokens already
// generated if it is a continuation.
func parseChat(body []byte) (prompt []byte, position int) {
	var call struct {
		Messages []prefix.Message `json:"messages"`
	}
	if json.Unmarshal(body, &call) != nil || len(call.Messages) == 0 {
		return nil, 0
	}
	messages := call.Messages
	last := messages[len(messages)-1]
	if last.Role == "assistant" {
		messages, position = messages[:len(messages)-1], len(strings.Fields(last.Content))
	}
	return prefix.Render(messages), position
}
