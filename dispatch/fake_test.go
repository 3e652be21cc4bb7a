package dispatch_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"github.com/cranberrywalk/cranberrywalk/answer"
	"github.com/cranberrywalk/cranberrywalk/backend"
	"github.com/cranberrywalk/cranberrywalk/claim"
	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/dispatch"
	"github.com/cranberrywalk/cranberrywalk/request"
	"github.com/cranberrywalk/cranberrywalk/retry"
	"github.com/cranberrywalk/cranberrywalk/suspect"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// fakeChooser returns its targets in order.
type fakeChooser struct {
	targets []dispatch.Target
	mu      sync.Mutex
	began   int
	ended   []dispatch.Observation
}

func (f *fakeChooser) Choose(r request.Request, excluded []string, _ time.Time) (dispatch.Target, error) {
	for _, target := range f.targets {
		if !slices.Contains(excluded, target.Name) {
			return target, nil
		}
	}
	return dispatch.Target{}, &dispatch.NoBackendError{Target: r.Target()}
}

func (f *fakeChooser) AttemptStarted(dispatch.Target, request.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.began++
}

func (f *fakeChooser) AttemptEnded(_ dispatch.Target, _ request.Request, observed dispatch.Observation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = append(f.ended, observed)
}

// fakeClaimLog holds the current claims. Daemons of one test may share it.
type fakeClaimLog struct {
	mu     sync.Mutex
	claims map[claim.Key]claim.Claim
	number uint64
}

// fakeClaimer is the dispatch.Claimer of one daemon.
type fakeClaimer struct {
	*fakeClaimLog
	daemon string
	err    error
}

func (f *fakeClaimer) Claim(_ context.Context, key claim.Key, fingerprint uint64) (dispatch.ClaimResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return dispatch.ClaimResult{}, f.err
	}
	if winner, found := f.claims[key]; found {
		return dispatch.ClaimResult{Winner: winner}, nil
	}
	f.number++
	own := claim.Claim{Key: key, Daemon: f.daemon, Number: f.number, Fingerprint: fingerprint}
	f.claims[key] = own
	return dispatch.ClaimResult{Won: true, Claim: own}, nil
}

func (f *fakeClaimer) Release(_ context.Context, own claim.Claim) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.claims, own.Key)
	return nil
}

// fakeRelayer reads the answer store of the other daemons.
type fakeRelayer struct{ testbed *testbed }

func (f fakeRelayer) Relay(ctx context.Context, winner claim.Claim) (answer.Answer, error) {
	return f.testbed.peerAnswers.Wait(ctx, winner.Key)
}

// fakeWriter is a dispatch.Writer and Finisher that records its calls.
type fakeWriter struct {
	mu     sync.Mutex
	heads  int
	status int
	chunks []string
	// onChunk is called after each chunk with the number of chunks so far.
	onChunk func(int)
	// onFinish is called from Finish.
	onFinish func()
	results  []dispatch.Result
}

func (w *fakeWriter) Head(status int, _ http.Header) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heads++
	w.status = status
	return nil
}

func (w *fakeWriter) Chunk(piece []byte) error {
	w.mu.Lock()
	w.chunks = append(w.chunks, string(piece))
	count := len(w.chunks)
	w.mu.Unlock()
	if w.onChunk != nil {
		w.onChunk(count)
	}
	return nil
}

func (w *fakeWriter) Finish(result dispatch.Result) {
	w.results = append(w.results, result)
	if w.onFinish != nil {
		w.onFinish()
	}
}

// testbed is a dispatcher with fake dependencies.
type testbed struct {
	mover fakeMover
	*dispatch.Dispatcher
	clock   *clockwork.FakeClock
	chooser *fakeChooser
	claimer *fakeClaimer
	answers *answer.Store
	// peerAnswers is the answer store of the other daemons.
	peerAnswers *answer.Store
	onSuspect   func(suspect.Entry)
	backends    []*fakeBackend
}

// fakeMover records the requested copies.
type fakeMover struct {
	err    error
	mu     sync.Mutex
	copies []string
}

// MoveCache implements dispatch.CacheMover.
func (m *fakeMover) MoveCache(_ context.Context, requestID string, from, to dispatch.Target) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.copies = append(m.copies, requestID+": "+from.Name+" to "+to.Name)
	return m.err
}

func newTestbed(t testing.TB, backends ...behaviour) *testbed {
	return newDaemonTestbed(t, "entry-1", backends...)
}

func newDaemonTestbed(t testing.TB, daemon string, backends ...behaviour) *testbed {
	c := qt.New(t)
	b := &testbed{clock: clock.NewFake(time.Unix(1_000_000, 0)), chooser: &fakeChooser{}}
	for i, behave := range backends {
		fake := newFakeBackend(c, fmt.Sprintf("runner-%d", i+1), behave)
		b.backends = append(b.backends, fake)
		b.chooser.targets = append(b.chooser.targets, fake.target)
	}
	common := telemetry.NewCommon()
	common.Clock = b.clock
	b.claimer = &fakeClaimer{daemon: daemon, fakeClaimLog: &fakeClaimLog{claims: make(map[claim.Key]claim.Claim)}}
	b.answers = answer.New(common, answer.DefaultOptions())
	b.peerAnswers = answer.New(common, answer.DefaultOptions())
	b.onSuspect = func(suspect.Entry) {}
	client := backend.New(common, backend.DefaultOptions())
	c.Cleanup(client.Close)
	options := dispatch.DefaultOptions()
	options.Daemon = daemon
	b.Dispatcher = dispatch.New(common, dispatch.Dependencies{
		Client: client, Chooser: b.chooser, Claimer: b.claimer, Relayer: fakeRelayer{b},
		Answers: b.answers, Suspects: suspect.New(suspect.DefaultOptions()),
		OnSuspect: func(entry suspect.Entry) { b.onSuspect(entry) },
		Budget:    retry.NewBudget(retry.DefaultBudgetOptions(), b.clock.Now()),
		Backoff:   retry.NewBackoff(retry.BackoffOptions{}, rand.NewPCG(1, 2)),
		Mover:     &b.mover,
	}, options)
	return b
}

// requests returns the number of requests that reached any backend server.
func (b *testbed) requests() int {
	count := 0
	for _, fake := range b.backends {
		fake.mu.Lock()
		count += fake.requests
		fake.mu.Unlock()
	}
	return count
}

func chat(now time.Time) request.Request {
	body := `{"model":"teach","stream":true,"max_tokens":6,"messages":[{"role":"user","content":"hello"}]}`
	return request.Request{
		ID: "r1", Kind: request.Chat, Model: "teach", Method: http.MethodPost, Path: "/v1/chat/completions",
		Body: []byte(body), Idempotent: true, Stream: true, MaxTokens: answerTokens, Deadline: now.Add(5 * time.Second),
	}
}

func nonStreamingChat(now time.Time) request.Request {
	r := chat(now)
	r.Stream = false
	return r.WithBody(bytes.Replace(r.Body, []byte(`"stream":true,`), nil, 1))
}

func completion(now time.Time) request.Request {
	r := chat(now)
	r.Kind, r.Path = request.Completion, "/v1/completions"
	return r.WithBody([]byte(`{"model":"teach","stream":true,"max_tokens":6,"prompt":"hello "}`))
}

func placement(now time.Time) request.Request {
	return request.Request{
		ID: "r1", Kind: request.Service, Service: "placement", Method: http.MethodPost, Path: "/confirm",
		Body: []byte(`{"Teacher":7}`), Header: request.Header{"Idempotency-Key": {"k"}}, Deadline: now.Add(5 * time.Second),
	}
}

// text returns the text of a response.
func (w *fakeWriter) text() string {
	var text strings.Builder
	for _, piece := range w.chunks {
		var fields struct {
			Choices []struct {
				Text           string
				Delta, Message struct{ Content string }
			}
		}
		if json.Unmarshal([]byte(strings.TrimPrefix(piece, "data: ")), &fields) == nil && len(fields.Choices) > 0 {
			choice := fields.Choices[0]
			text.WriteString(choice.Text + choice.Delta.Content + choice.Message.Content)
		}
	}
	return text.String()
}

// events returns the chunks of a streamed response except the final [DONE] event.
func (w *fakeWriter) events(c *qt.C) []backend.ChunkFields {
	var events []backend.ChunkFields
	for _, piece := range w.chunks[:len(w.chunks)-1] {
		var fields backend.ChunkFields
		c.Assert(json.Unmarshal([]byte(strings.TrimPrefix(piece, "data: ")), &fields), qt.IsNil)
		events = append(events, fields)
	}
	return events
}
