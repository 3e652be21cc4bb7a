package engine_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/hostinghttp"
	"github.com/cranberrywalk/cranberrywalk/prefix"
	"github.com/cranberrywalk/cranberrywalk/standin/engine"
)

// driver sends requests to an engine.
type driver struct {
	*qt.C
	engine *engine.Engine
	server *httptest.Server
}

// newDriver returns a driver of an engine whose steps take no time. edit, unless it
// is nil, changes the parameters of the engine.
func newDriver(t *testing.T, edit func(*engine.Parameters)) *driver {
	parameters := engine.DefaultParameters()
	parameters.PrefillTokensPerSecond, parameters.DecodeInterval, parameters.StreamInterval = 0, 0, 0
	parameters.LoadLag, parameters.EventLag, parameters.LostEventEvery = 0, 0, 0
	if edit != nil {
		edit(&parameters)
	}
	return newDriverWithClock(t, clock.Real(), parameters)
}

func newDriverWithClock(t *testing.T, c clock.Clock, parameters engine.Parameters) *driver {
	ctx, cancel := context.WithCancel(context.Background())
	d := &driver{C: qt.New(t), engine: engine.New(ctx, c, parameters)}
	d.server = httptest.NewServer(d.engine)
	d.Cleanup(func() {
		cancel()
		<-d.engine.Done()
		d.server.Close()
	})
	return d
}

// answer is what a caller has received.
type answer struct {
	status       int
	id           string
	text         string
	finishReason string
	cachedTokens int
	err          error
}

// chunk is an event of a stream, or a whole answer.
type chunk struct {
	ID      string
	Choices []struct {
		Text           string
		Delta, Message struct{ Content string }
		FinishReason   string `json:"finish_reason"`
	}
	Usage struct {
		Details struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	}
}

func (a *answer) add(data string) {
	var c chunk
	if a.err = json.Unmarshal([]byte(data), &c); a.err != nil || len(c.Choices) == 0 {
		return
	}
	first := c.Choices[0]
	a.id = c.ID
	a.text += first.Text + first.Delta.Content + first.Message.Content
	a.finishReason = first.FinishReason
	a.cachedTokens = c.Usage.Details.CachedTokens
}

// send posts a body with the request ID r1 and reads the response to its end.
func (d *driver) send(path, body string) answer {
	request, err := http.NewRequest(http.MethodPost, d.server.URL+path, strings.NewReader(body))
	d.Assert(err, qt.IsNil)
	request.Header.Set("X-Request-Id", "r1")
	response, err := d.server.Client().Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	a := answer{status: response.StatusCode}
	if response.Header.Get("Content-Type") != "text/event-stream" {
		content, err := io.ReadAll(response.Body)
		a.add(string(content))
		a.err = errors.Join(err, a.err)
		return a
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() && a.err == nil {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		if isData && data != "[DONE]" {
			a.add(data)
		}
	}
	a.err = errors.Join(a.err, lines.Err())
	return a
}

const (
	chatPath = "/v1/chat/completions"
	chatBody = `{"stream":true,"max_tokens":5,"messages":[{"role":"user","content":"hello"}]}`
)

var chatPrompt = prefix.Render([]prefix.Message{{Role: "user", Content: "hello"}})

func TestAnswersAreAFunctionOfThePrompt(t *testing.T) {
	chat, completion := chatPrompt, []byte("hello")
	for _, scenario := range []struct {
		name, path, body string
		text             string
		finishReason     string
	}{
		{"streamed chat", chatPath, chatBody, engine.AnswerText(chat, 0, 5), "length"},
		{"whole chat", chatPath, strings.Replace(chatBody, "true", "false", 1), engine.AnswerText(chat, 0, 5), "length"},
		{"streamed completion", "/v1/completions", `{"stream":true,"max_tokens":5,"prompt":"hello"}`, engine.AnswerText(completion, 0, 5), "length"},
		{"whole completion", "/v1/completions", `{"prompt":"hello"}`, engine.AnswerText(completion, 0, 32), "stop"},
		{
			"continued chat", chatPath,
			`{"max_tokens":3,"continue_final_message":true,"messages":[{"role":"user","content":"hello"},
			{"role":"assistant","content":"` + engine.AnswerText(chat, 0, 2) + `"}]}`,
			engine.AnswerText(chat, 2, 3), "length",
		},
		{
			"continued completion", "/v1/completions",
			`{"prompt":"hello` + engine.AnswerText(completion, 0, 2) + `"}`,
			engine.AnswerText(completion, 2, 30), "stop",
		},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			d := newDriver(t, nil)

			a := d.send(scenario.path, scenario.body)

			d.Assert(a.err, qt.IsNil)
			d.Assert(a.text, qt.Equals, scenario.text)
			d.Assert(a.id, qt.Equals, "cmpl-r1")
			d.Assert(a.finishReason, qt.Equals, scenario.finishReason)
			d.Assert(d.engine.Runs().Requests, qt.DeepEquals, map[string]int{"r1": 1})
		})
	}
}

func TestFaults(t *testing.T) {
	const id = "cmpl-r1"
	for _, scenario := range []struct {
		name   string
		faults string
		status int
		words  int
		id     string
		fails  bool
		runs   int
	}{
		{"truncated", `{"Fault":"Truncate","After":2}`, 200, 2, id, true, 1},
		{"truncated at once", `{"Fault":"Truncate"}`, 200, 0, "", true, 1},
		{"response with a foreign ID", `{"Fault":"Cross"}`, 200, 5, "cmpl-foreign-r1", false, 1},
		{"refused", `{"Fault":"Refuse"}`, 503, 0, "", false, 0},
		{"prompt that crashes the engine", `{"Poison":"hello"}`, 0, 0, "", true, 1},
		{"other prompt", `{"Poison":"goodbye"}`, 200, 5, id, false, 1},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			d := newDriver(t, nil)
			response, err := http.Post(d.server.URL+"/control/faults", "application/json", strings.NewReader(scenario.faults))
			d.Assert(err, qt.IsNil)
			d.Assert(response.Body.Close(), qt.IsNil)
			d.Assert(response.StatusCode, qt.Equals, http.StatusOK)

			a := d.send(chatPath, chatBody)

			d.Assert(a.err != nil, qt.Equals, scenario.fails, qt.Commentf("%v", a.err))
			d.Assert(strings.Fields(a.text), qt.HasLen, scenario.words)
			d.Assert(a.id, qt.Equals, scenario.id)
			d.Assert(d.engine.Runs().Total, qt.Equals, scenario.runs)
		})
	}
}

func TestFaultAppliesToCountedRequests(t *testing.T) {
	d := newDriver(t, nil)
	faults := engine.Faults{}
	faults.Fault, faults.Count = engine.FaultRefuse, 1
	d.engine.SetFaults(faults)

	d.Assert(d.send(chatPath, chatBody).status, qt.Equals, http.StatusServiceUnavailable)
	d.Assert(d.send(chatPath, chatBody).status, qt.Equals, http.StatusOK)
}

func TestCrashedEngineAnswersAfterRestart(t *testing.T) {
	d := newDriver(t, nil)
	d.engine.Crash()
	d.Assert(d.send(chatPath, chatBody).err, qt.IsNotNil)

	d.engine.Restart()

	d.Assert(d.send(chatPath, chatBody).err, qt.IsNil)
}

func TestRepeatedPromptIsCached(t *testing.T) {
	d := newDriver(t, nil)
	body := `{"prompt":"` + strings.Repeat("school ", 200) + `","max_tokens":1}`
	d.Assert(d.send("/v1/completions", body).cachedTokens, qt.Equals, 0)

	d.Assert(d.send("/v1/completions", body).cachedTokens, qt.Equals, 5*prefix.BlockTokens)

	control := hostinghttp.NewEngine(d.server.URL, d.server.Client())
	events, err := control.CacheEvents(context.Background(), 2)
	d.Assert(err, qt.IsNil)
	d.Assert(events, qt.HasLen, 3)
	load, err := control.Load(context.Background())
	d.Assert(err, qt.IsNil)
	d.Assert(load.CachedTokens, qt.Equals, 5*prefix.BlockTokens)
}

func TestStaleFencingToken(t *testing.T) {
	for _, scenario := range []struct {
		name   string
		checks bool
		models []string
	}{
		{"refused by an engine that checks", true, []string{"new"}},
		{"accepted by an engine that does not", false, []string{"old"}},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			d := newDriver(t, func(p *engine.Parameters) { p.ChecksFencing = scenario.checks })
			control := hostinghttp.NewEngine(d.server.URL, d.server.Client())
			ctx := context.Background()
			d.Assert(control.Order(ctx, hosting.Order{Fencing: 7, Models: []string{"new"}}), qt.IsNil)

			err := control.Order(ctx, hosting.Order{Fencing: 6, Models: []string{"old"}})

			var fenced *hosting.FencedError
			d.Assert(errors.As(err, &fenced), qt.Equals, scenario.checks)
			load, err := control.Load(ctx)
			d.Assert(err, qt.IsNil)
			d.Assert(load.Models, qt.DeepEquals, scenario.models)
		})
	}
}

func TestExportedCacheIsImported(t *testing.T) {
	body := `{"prompt":"` + strings.Repeat("school ", 200) + `","max_tokens":9,"stream":true}`
	fake := clock.NewFake(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	from := newDriverWithClock(t, fake, engine.DefaultParameters())
	sent := make(chan answer, 1)
	go func() { sent <- from.send("/v1/completions", body) }()
	from.Assert(fake.BlockUntilContext(context.Background(), 1), qt.IsNil)
	ctx := context.Background()

	kv, err := hostinghttp.NewEngine(from.server.URL, from.server.Client()).ExportKV(ctx, "r1")
	from.Assert(err, qt.IsNil)
	to := newDriver(t, nil)
	to.Assert(hostinghttp.NewEngine(to.server.URL, to.server.Client()).ImportKV(ctx, kv), qt.IsNil)

	to.Assert(to.send("/v1/completions", body).cachedTokens, qt.Equals, 5*prefix.BlockTokens)
	from.engine.Crash()
	from.Assert((<-sent).err, qt.IsNotNil)
}
